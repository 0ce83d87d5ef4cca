//! Stand-ins for the cases of the review. The first argument names the case.

mod callers;
mod endpoint;
mod fleet;
mod http;
mod owner;
mod record;
mod twice;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Result of a play.
pub enum Verdict {
    Held,
    Broken(String),
    NotRun(String),
}

/// Where a play reads and writes.
pub struct Places {
    /// Root of the repository.
    pub root: PathBuf,
    /// A temporary folder.
    pub folder: PathBuf,
    /// Where the record is written.
    pub record: PathBuf,
    /// Whether the disruption happens.
    pub trouble: bool,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, root, folder, record] = args.as_slice() else {
        eprintln!("usage: review-standin CASE ROOT FOLDER RECORD");
        return ExitCode::from(2);
    };
    let places = Places {
        root: Path::new(root).to_owned(),
        folder: Path::new(folder).to_owned(),
        record: Path::new(record).to_owned(),
        trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    let verdict = match case.as_str() {
        "twice" => twice::play(&places),
        "owner" => owner::play(&places),
        _ => Verdict::NotRun(format!("no case {case}")),
    };
    match verdict {
        Verdict::Held => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Verdict::Broken(what) => {
            println!("the rule was broken: {what}");
            ExitCode::from(1)
        }
        Verdict::NotRun(why) => {
            println!("the case could not run: {why}");
            ExitCode::from(2)
        }
    }
}
