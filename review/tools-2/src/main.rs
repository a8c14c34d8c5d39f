//! Cases of the second review: `review-case-2 CASE RECORD`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could
//! not run.

mod client;
mod host;
mod http;
mod instance;
mod json;
mod lost;
mod memory;
mod pipeline;
mod store;

use std::{
    fmt::Write as _,
    path::{Path, PathBuf},
    sync::{Arc, Mutex},
    time::Instant,
};

/// Lines of the record of a case, with the time since its start.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    text: Arc<Mutex<String>>,
}

impl Record {
    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let mut lines = self.text.lock().unwrap();
        let _ = writeln!(lines, "{at:8.3} s  {text}");
    }
}

/// A temporary folder that is removed at the end.
pub struct Folder(PathBuf);

impl Folder {
    fn open() -> std::io::Result<Folder> {
        let name = format!("review-case-2-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path)?;
        Ok(Folder(path))
    }

    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, file] = arguments.as_slice() else {
        eprintln!("usage: review-case-2 CASE RECORD");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record {
        started: Instant::now(),
        text: Arc::default(),
    };
    record.line(&format!("case {case}, trouble: {has_trouble}"));
    let folder = Folder::open();
    let result = folder.and_then(|folder| match case.as_str() {
        "lost" => lost::run(&record, &folder, has_trouble),
        "pipeline" => pipeline::run(&record, &folder, has_trouble),
        "memory" => memory::run(&record, &folder, has_trouble),
        _ => Err(std::io::Error::other("no such case")),
    });
    let code = match &result {
        Ok(false) => 0,
        Ok(true) => 1,
        Err(err) => {
            record.line(&format!("the case could not run: {err}"));
            2
        }
    };
    record.line(&format!("exit {code}"));
    let text = record.text.lock().unwrap().clone();
    print!("{text}");
    if std::fs::write(file, text).is_err() {
        std::process::exit(2);
    }
    std::process::exit(code);
}
