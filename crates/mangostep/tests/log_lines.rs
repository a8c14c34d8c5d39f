//! docs/OPERATIONS.md names every log line of an entry host, and no other.

use std::{collections::BTreeSet, fs, path::Path};

/// Texts of the log lines in the Rust files below a folder.
fn lines_in_code(folder: &Path, found: &mut BTreeSet<String>) {
    for entry in fs::read_dir(folder).expect("the folder is there") {
        let path = entry.expect("the entry can be read").path();
        if path.is_dir() {
            lines_in_code(&path, found);
            continue;
        }
        let code = fs::read_to_string(&path).expect("the file is text");
        for start in ["info!(", "warn!("] {
            for call in code.split(start).skip(1) {
                let text = call.split('"').nth(1).expect("a line has a text");
                found.insert(text.to_owned());
            }
        }
    }
}

/// Texts in the first column of the page's table of lines.
fn lines_on_page(page: &str) -> BTreeSet<String> {
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
fn the_page_names_every_log_line() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut code = BTreeSet::new();
    lines_in_code(&root.join("crates/mangostep-entry/src"), &mut code);
    let page = fs::read_to_string(root.join("docs/OPERATIONS.md")).expect("the page is there");
    assert_eq!(lines_on_page(&page), code);
}
