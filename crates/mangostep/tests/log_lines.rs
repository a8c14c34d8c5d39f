//! Checks that docs/OPERATIONS.md lists exactly the log messages of an entry
//! host.

use std::{collections::BTreeSet, fs, path::Path};

/// Collects the log messages in the Rust files below a directory.
fn messages_in_code(directory: &Path, found: &mut BTreeSet<String>) {
    for entry in fs::read_dir(directory).expect("the directory can be read") {
        let path = entry.expect("the entry can be read").path();
        if path.is_dir() {
            messages_in_code(&path, found);
            continue;
        }
        let code = fs::read_to_string(&path).expect("the file is text");
        for start in ["info!(", "warn!("] {
            for call in code.split(start).skip(1) {
                let text = call.split('"').nth(1).expect("a log call has a message");
                found.insert(text.to_owned());
            }
        }
    }
}

/// Returns the messages in the first column of the page's table of log lines.
fn messages_on_page(page: &str) -> BTreeSet<String> {
    let (_, section) = page
        .split_once("## Lines")
        .expect("the page has the section");
    let (section, _) = section.split_once("## Metrics").expect("the section ends");
    let rows = section
        .lines()
        .filter(|line| line.starts_with("| `") && !line.contains("`msg`"));
    let cells = rows.filter_map(|row| row.split('|').nth(1));
    cells
        .flat_map(|cell| cell.split(','))
        .map(|name| name.trim().trim_matches('`').to_owned())
        .collect()
}

#[test]
fn operations_page_lists_every_log_message() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut code = BTreeSet::new();
    messages_in_code(&root.join("crates/mangostep-entry/src"), &mut code);
    let page = fs::read_to_string(root.join("docs/OPERATIONS.md")).expect("the page can be read");
    assert_eq!(messages_on_page(&page), code);
}
