use std::path::{Path, PathBuf};

use {mangostep_objects::ObjectSet, pico_args::Arguments};

use crate::command::{CommandError, positional_arguments, read_text};

pub(crate) const USAGE: &str = "\
Check a set of configuration objects, including the references between them.

Usage: mangostep check [--json] PATH...

PATH is a file of objects, or a directory whose *.json and *.jsonc files are
read. All faults are reported together, each with its file, line, object and
field.

  --json   report faults as JSON lines
";

/// Checks configuration objects and reports all faults in them.
pub(crate) fn run(mut arguments: Arguments) -> Result<(), CommandError> {
    let as_json = arguments.contains("--json");
    let paths = positional_arguments(arguments)?;
    let set = read_objects(&paths, as_json)?;
    let counts = counts_by_kind(&set);
    if as_json {
        println!("{{\"objects\":{}}}", object_count(&set));
    } else {
        println!("valid: {counts}");
    }
    Ok(())
}

/// Reads and checks the objects in files and directories.
///
/// Faults are printed to standard error as text, or to standard output as
/// JSON lines.
pub(crate) fn read_objects(paths: &[String], as_json: bool) -> Result<ObjectSet, CommandError> {
    if paths.is_empty() {
        return Err(CommandError::Usage(
            "expected at least one file or directory of objects".to_owned(),
        ));
    }
    let mut texts = Vec::new();
    for path in paths {
        for file in object_files(Path::new(path))? {
            texts.push((file.to_string_lossy().into_owned(), read_text(&file)?));
        }
    }
    let files = texts
        .iter()
        .map(|(file, text)| (file.as_str(), text.as_str()));
    ObjectSet::from_files(files).map_err(|err| {
        for fault in err.faults() {
            if as_json {
                let line = serde_json::json!({
                    "file": fault.file, "line": fault.line, "object": fault.object,
                    "field": fault.field, "message": fault.message,
                });
                println!("{line}");
            } else {
                eprintln!("{fault}");
            }
        }
        CommandError::Failed(format!(
            "{} faults in the objects; nothing was changed",
            err.faults().len()
        ))
    })
}

fn object_files(path: &Path) -> Result<Vec<PathBuf>, CommandError> {
    if !path.is_dir() {
        return Ok(vec![path.to_owned()]);
    }
    let failed = |err| CommandError::failed(&path.to_string_lossy(), err);
    let mut files = Vec::new();
    for entry in std::fs::read_dir(path).map_err(failed)? {
        let file = entry.map_err(failed)?.path();
        let extension = file.extension().and_then(|extension| extension.to_str());
        if matches!(extension, Some("json" | "jsonc")) {
            files.push(file);
        }
    }
    if files.is_empty() {
        return Err(CommandError::failed(
            &path.to_string_lossy(),
            "no *.json or *.jsonc file in this directory",
        ));
    }
    files.sort();
    Ok(files)
}

fn object_count(set: &ObjectSet) -> usize {
    let ObjectSet {
        zones,
        services,
        limits,
        workspaces,
        keys,
        routes,
        callers: _,
    } = set;
    zones.len() + services.len() + limits.len() + workspaces.len() + keys.len() + routes.len()
}

/// Returns the number of objects of each kind as text.
pub(crate) fn counts_by_kind(set: &ObjectSet) -> String {
    format!(
        "{} zones, {} services, {} limits, {} workspaces, {} keys, {} routes",
        set.zones.len(),
        set.services.len(),
        set.limits.len(),
        set.workspaces.len(),
        set.keys.len(),
        set.routes.len(),
    )
}
