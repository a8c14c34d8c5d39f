//! Runs one case of the review: `review-cases CASE RECORD`. With `TROUBLE=0`
//! in the environment it does the same without the disruption.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could
//! not run.

mod cut_answer;
mod fleet;
mod http;
mod mass_leave;
mod planned_stop;
mod server;
mod store;
mod uploads;

use std::{io, process::ExitCode, time::Duration};

use crate::{fleet::Record, server::Manner};

/// Result of a case.
pub enum Verdict {
    Held,
    Broken,
    /// The case could not run, for the given reason.
    NotRun(&'static str),
}

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let result = match words.as_slice() {
        ["server", address, id, work_ms, manner] => {
            return match serve(address, id, work_ms, manner) {
                Ok(()) => ExitCode::SUCCESS,
                Err(err) => {
                    eprintln!("{err}");
                    ExitCode::from(2)
                }
            };
        }
        ["cut-answer", record] => {
            Record::create(record).and_then(|record| cut_answer::run(&record, has_trouble))
        }
        ["mass-leave", record] => {
            Record::create(record).and_then(|record| mass_leave::run(&record, has_trouble))
        }
        ["planned-stop", record] => {
            Record::create(record).and_then(|record| planned_stop::run(&record, has_trouble))
        }
        ["uploads", record] => {
            Record::create(record).and_then(|record| uploads::run(&record, has_trouble))
        }
        _ => Err(io::Error::other("usage: review-cases CASE RECORD")),
    };
    match result {
        Ok(Verdict::Held) => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            println!("the rule was broken");
            ExitCode::from(1)
        }
        Ok(Verdict::NotRun(reason)) => {
            println!("not run: {reason}");
            ExitCode::from(2)
        }
        Err(err) => {
            println!("not run: {err}");
            ExitCode::from(2)
        }
    }
}

fn serve(address: &str, id: &str, work_ms: &str, manner: &str) -> io::Result<()> {
    let address = address.parse().map_err(io::Error::other)?;
    let work = Duration::from_millis(work_ms.parse().map_err(io::Error::other)?);
    let manner = Manner::from_text(manner).ok_or(io::ErrorKind::InvalidInput)?;
    server::run(address, id, work, manner)
}
