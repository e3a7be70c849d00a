//! Reads site files (HCL). Every error is one line that names the file, the line and the field.

use std::path::Path;

use hcl_edit::Span;
use hcl_edit::structure::{Body, Structure};

use super::SiteFile;

#[derive(Debug, thiserror::Error)]
pub enum SiteError {
    #[error("{0}: {1}")]
    Read(String, std::io::Error),
    #[error("{file}: line {line}: {why}")]
    Syntax { file: String, line: usize, why: String },
    #[error("{file}: line {line}: {field}: {why}")]
    Field { file: String, line: usize, field: String, why: String },
}

fn one_line(text: &str) -> String {
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}

fn line_of(text: &str, at: usize) -> usize {
    text.get(..at).map_or(1, |before| before.matches('\n').count() + 1)
}

/// The byte offset of a field or, if it is missing, of the block that it belongs in.
fn locate(body: &Body, path: &[String]) -> Option<usize> {
    let (first, rest) = path.split_first()?;
    for structure in body {
        match structure {
            Structure::Attribute(a) if a.has_key(first) => return a.span().map(|s| s.start),
            Structure::Block(b) if b.has_ident(first) => {
                let labels: Vec<&str> = b.labels.iter().map(|l| l.as_str()).collect();
                let labels_match = rest.iter().zip(&labels).all(|(p, l)| p == l);
                if labels_match {
                    let inner = rest.get(labels.len()..).unwrap_or_default();
                    return locate(&b.body, inner).or_else(|| b.span().map(|s| s.start));
                }
            }
            _ => {}
        }
    }
    None
}

/// Types of blocks that may occur several times and have a name as their label.
const LABELED_BLOCKS: [&str; 5] = ["controller", "machine_type", "team", "load", "trouble"];

/// Returns the offset and path of the first block that is duplicated or has the wrong labels, and
/// what is wrong with it. This cannot be checked later, because deserialization merges such blocks.
fn invalid_block(body: &Body) -> Option<(usize, String, &'static str)> {
    let mut seen = Vec::new();
    for block in body.blocks() {
        let mut path = vec![block.ident.as_str()];
        path.extend(block.labels.iter().map(|l| l.as_str()));
        let labels = usize::from(LABELED_BLOCKS.contains(&block.ident.as_str()));
        let why = match block.labels.len() {
            n if n > labels => Some("has too many labels"),
            n if n < labels => Some("must have a name"),
            _ if seen.contains(&path) => Some("is defined twice"),
            _ => None,
        };
        if let Some(why) = why {
            return Some((block.span().map_or(0, |s| s.start), path.join("."), why));
        }
        seen.push(path);
    }
    None
}

/// The unknown or missing field that an error message of serde names, if any.
fn field_in_message(message: &str) -> Option<String> {
    let rest = message.strip_prefix("unknown field `").or(message.strip_prefix("missing field `"))?;
    rest.split('`').next().map(str::to_owned)
}

impl SiteFile {
    pub fn load(path: &Path) -> Result<Self, SiteError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| SiteError::Read(file.clone(), e))?;
        Self::parse(&file, &text)
    }

    /// Parses and validates a site file; `file` is the name in error messages.
    pub fn parse(file: &str, text: &str) -> Result<Self, SiteError> {
        let body = hcl_edit::parser::parse_body(text).map_err(|e| {
            let line = e.location().line();
            SiteError::Syntax { file: file.to_owned(), line, why: one_line(e.message()) }
        })?;
        let field = |path: Vec<String>, why: String| {
            let line = locate(&body, &path).map_or(1, |at| line_of(text, at));
            SiteError::Field { file: file.to_owned(), line, field: path.join("."), why }
        };
        if let Some((at, field, why)) = invalid_block(&body) {
            let line = line_of(text, at);
            return Err(SiteError::Field { file: file.to_owned(), line, field, why: why.to_owned() });
        }
        let value: serde_json::Value =
            hcl::from_str(text).map_err(|e| field(vec!["this file".to_owned()], one_line(&e.to_string())))?;
        let site: Self = serde_path_to_error::deserialize(&value).map_err(|e| {
            let mut path: Vec<String> =
                e.path().iter().map(ToString::to_string).filter(|segment| segment != "?").collect();
            let message = e.inner().to_string();
            if let Some(name) = field_in_message(&message)
                && path.last() != Some(&name)
            {
                path.push(name);
            }
            if path.is_empty() {
                path.push("this file".to_owned());
            }
            field(path, one_line(&message))
        })?;
        match site.first_error() {
            Some((path, why)) => Err(field(path, why)),
            None => Ok(site),
        }
    }
}
