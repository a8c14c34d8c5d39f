use std::path::{Path, PathBuf};

use {mangostep_objects::ObjectSet, pico_args::Arguments};

use crate::command::{CommandError, free_arguments, read_text};

pub(crate) const USAGE: &str = "\
Check a set of objects as one.

Usage: mangostep check [--json] PATH...

PATH is a file of objects, or a directory whose *.json and *.jsonc files are
read. Everything that is wrong is told at once, with file, line, object and
field.

  --json   tell faults as JSON lines
";

/// Checks objects and tells what is wrong.
pub(crate) fn run(mut arguments: Arguments) -> Result<(), CommandError> {
    let as_json = arguments.contains("--json");
    let paths = free_arguments(arguments)?;
    let set = read_set(&paths, as_json)?;
    let counts = count_text(&set);
    if as_json {
        println!("{{\"objects\":{}}}", set_size(&set));
    } else {
        println!("good: {counts}");
    }
    Ok(())
}

/// Reads and checks the objects of files and directories.
///
/// Faults are told on standard error, or as JSON on standard output.
pub(crate) fn read_set(paths: &[String], as_json: bool) -> Result<ObjectSet, CommandError> {
    if paths.is_empty() {
        return Err(CommandError::Usage(
            "which files or directories of objects?".to_owned(),
        ));
    }
    let mut texts = Vec::new();
    for path in paths {
        for file in files_of(Path::new(path))? {
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
            "{} faults; nothing was changed",
            err.faults().len()
        ))
    })
}

fn files_of(path: &Path) -> Result<Vec<PathBuf>, CommandError> {
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
            "holds no *.json or *.jsonc file",
        ));
    }
    files.sort();
    Ok(files)
}

fn set_size(set: &ObjectSet) -> usize {
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

/// Tells how many objects of each kind there are.
pub(crate) fn count_text(set: &ObjectSet) -> String {
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
