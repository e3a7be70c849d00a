//! MessagePack values, and their size as JSON, in which the pages measure limits.

#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Nil,
    Bool(bool),
    Int(i64),
    Float(f64),
    Text(String),
    List(Vec<Value>),
    Map(Vec<(String, Value)>),
}

use Value::*;

pub fn text(text: &str) -> Value {
    Text(text.to_owned())
}

pub fn int(number: u64) -> Value {
    Int(number as i64)
}

pub fn map(fields: Vec<(&str, Value)>) -> Value {
    Map(fields.into_iter().map(|(name, value)| (name.to_owned(), value)).collect())
}

impl Value {
    pub fn get(&self, field: &str) -> Option<&Value> {
        match self {
            Map(fields) => fields.iter().find(|(name, _)| name == field).map(|(_, value)| value),
            _ => None,
        }
    }

    pub fn str(&self, field: &str) -> String {
        match self.get(field) {
            Some(Text(text)) => text.clone(),
            _ => String::new(),
        }
    }

    /// An integer; 0 if there is none.
    pub fn int(&self, field: &str) -> u64 {
        match self.get(field) {
            Some(Int(number)) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self, field: &str) -> &[Value] {
        match self.get(field) {
            Some(List(items)) => items,
            _ => &[],
        }
    }

    pub fn json(&self) -> String {
        match self {
            Nil => "null".into(),
            Bool(value) => value.to_string(),
            Int(number) => number.to_string(),
            Float(number) => format!("{number:?}"),
            Text(text) => json_text(text),
            List(items) => format!("[{}]", items.iter().map(Value::json).collect::<Vec<_>>().join(",")),
            Map(fields) => {
                let pair = |(name, value): &(String, Value)| format!("{}:{}", json_text(name), value.json());
                format!("{{{}}}", fields.iter().map(pair).collect::<Vec<_>>().join(","))
            }
        }
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut out = Vec::new();
        self.write(&mut out);
        out
    }

    fn write(&self, out: &mut Vec<u8>) {
        match self {
            Nil => out.push(0xc0),
            Bool(value) => out.push(if *value { 0xc3 } else { 0xc2 }),
            Int(number) if (0..128).contains(number) => out.push(*number as u8),
            Int(number) if *number >= 0 => {
                out.push(0xcf);
                out.extend((*number as u64).to_be_bytes());
            }
            Int(number) => {
                out.push(0xd3);
                out.extend(number.to_be_bytes());
            }
            Float(number) => {
                out.push(0xcb);
                out.extend(number.to_be_bytes());
            }
            Text(text) => {
                out.push(0xdb);
                out.extend((text.len() as u32).to_be_bytes());
                out.extend(text.as_bytes());
            }
            List(items) => {
                out.push(0xdd);
                out.extend((items.len() as u32).to_be_bytes());
                items.iter().for_each(|item| item.write(out));
            }
            Map(fields) => {
                out.push(0xdf);
                out.extend((fields.len() as u32).to_be_bytes());
                for (name, value) in fields {
                    Text(name.clone()).write(out);
                    value.write(out);
                }
            }
        }
    }

    pub fn decode(bytes: &[u8]) -> Option<Value> {
        let mut reader = Reader { bytes, at: 0 };
        reader.value()
    }
}

fn json_text(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' | '\\' => out.extend(['\\', c]),
            c if (c as u32) < 0x20 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn take(&mut self, count: usize) -> Option<&[u8]> {
        let taken = self.bytes.get(self.at..self.at.checked_add(count)?)?;
        self.at += count;
        Some(taken)
    }

    fn number(&mut self, bytes: usize) -> Option<u64> {
        Some(self.take(bytes)?.iter().fold(0, |number, byte| number << 8 | u64::from(*byte)))
    }

    fn value(&mut self) -> Option<Value> {
        let marker = self.number(1)? as u8;
        Some(match marker {
            0x00..=0x7f => Int(i64::from(marker)),
            0x80..=0x8f => self.map(u64::from(marker & 0x0f))?,
            0x90..=0x9f => self.list(u64::from(marker & 0x0f))?,
            0xa0..=0xbf => self.text(u64::from(marker & 0x1f))?,
            0xc0 => Nil,
            0xc2 => Bool(false),
            0xc3 => Bool(true),
            0xca => Float(f64::from(f32::from_bits(self.number(4)? as u32))),
            0xcb => Float(f64::from_bits(self.number(8)?)),
            0xcc => Int(self.number(1)? as i64),
            0xcd => Int(self.number(2)? as i64),
            0xce => Int(self.number(4)? as i64),
            0xcf => Int(self.number(8)? as i64),
            0xd0 => Int(i64::from(self.number(1)? as u8 as i8)),
            0xd1 => Int(i64::from(self.number(2)? as u16 as i16)),
            0xd2 => Int(i64::from(self.number(4)? as u32 as i32)),
            0xd3 => Int(self.number(8)? as i64),
            0xd9 => {
                let length = self.number(1)?;
                self.text(length)?
            }
            0xda => {
                let length = self.number(2)?;
                self.text(length)?
            }
            0xdb => {
                let length = self.number(4)?;
                self.text(length)?
            }
            0xdc => {
                let length = self.number(2)?;
                self.list(length)?
            }
            0xdd => {
                let length = self.number(4)?;
                self.list(length)?
            }
            0xde => {
                let length = self.number(2)?;
                self.map(length)?
            }
            0xdf => {
                let length = self.number(4)?;
                self.map(length)?
            }
            0xe0..=0xff => Int(i64::from(marker as i8)),
            _ => return None,
        })
    }

    fn text(&mut self, length: u64) -> Option<Value> {
        Some(Text(String::from_utf8_lossy(self.take(length as usize)?).into_owned()))
    }

    fn list(&mut self, length: u64) -> Option<Value> {
        (0..length).map(|_| self.value()).collect::<Option<Vec<_>>>().map(List)
    }

    fn map(&mut self, length: u64) -> Option<Value> {
        let mut fields = Vec::new();
        for _ in 0..length {
            let Text(name) = self.value()? else { return None };
            fields.push((name, self.value()?));
        }
        Some(Map(fields))
    }
}
