//! The cases of this review: `stand-ins CASE REPOSITORY TEMPORARY-FOLDER RECORD`. Exits with 1 if the
//! rule was broken, 0 if it held, and 2 if the case could not run.

mod cases;
mod controllers;
mod http;
mod record;
mod value;

use std::path::{Path, PathBuf};
use std::thread;
use std::time::Duration;

use controllers::{Folders, cannot_run, end_all};
use record::Record;

/// A script has 120 seconds.
const TIME_LIMIT: Duration = Duration::from_secs(116);

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, temp, record] = arguments.as_slice() else { cannot_run("wrong arguments") };
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        cannot_run("it took too long")
    });
    let folders = Folders { root: PathBuf::from(root), temp: PathBuf::from(temp) };
    let record = Record::create(Path::new(record));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.note(format_args!("case {case}, {} the disruption", if trouble { "with" } else { "without" }));
    let verdict = match case.as_str() {
        "futile-preemption" => cases::futile_preemption(&folders, &record, trouble),
        "hanging-controllers" => cases::hanging_controllers(&folders, &record, trouble),
        "large-tasks" => cases::large_tasks(&folders, &record, trouble),
        "small-tasks" => cases::small_tasks(&folders, &record, trouble),
        "starved-array" => cases::starved_array(&folders, &record, trouble),
        _ => cannot_run("no such case"),
    };
    end_all();
    match verdict {
        Ok(()) => {
            record.note(format_args!("the rule held"));
            println!("the rule held");
        }
        Err(broken) => {
            record.note(format_args!("the rule was broken: {broken}"));
            println!("the rule was broken: {broken}");
            std::process::exit(1);
        }
    }
}
