use std::{collections::BTreeSet, fmt::Write};

use crate::timeline::{TimelineEntry, wall_text};

const STYLE: &str = "\
body{font:13px system-ui,sans-serif;margin:1em;color:#222}
table{border-collapse:collapse}
th{position:sticky;top:0;background:#eee;text-align:left}
th,td{padding:2px 8px;border:1px solid #ddd;vertical-align:top}
td.stamp,td.wall{font-family:monospace;color:#666;white-space:nowrap}
.event{background:#e6f0fa;border-left:3px solid #3a7abd;padding:1px 5px}
.gap{background:#fbe3e0;border-left:3px solid #c0392b;padding:1px 5px}
.fields{color:#555}
";

/// Renders a self-contained HTML page with one column for each host.
pub(crate) fn render_page(entries: &[TimelineEntry]) -> String {
    let hosts: BTreeSet<&str> = entries.iter().map(|entry| entry.host.as_str()).collect();
    let mut page = String::new();
    page.push_str("<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\">");
    page.push_str("<title>mangostep timeline</title><style>");
    page.push_str(STYLE);
    page.push_str("</style></head><body><h1>Timeline</h1><table><thead><tr>");
    page.push_str("<th>Logical time</th><th>Wall clock (UTC)</th>");
    for host in &hosts {
        append(&mut page, format_args!("<th>{}</th>", escape(host)));
    }
    page.push_str("</tr></thead><tbody>\n");
    for entry in entries {
        render_row(&mut page, entry, &hosts);
    }
    page.push_str("</tbody></table></body></html>\n");
    page
}

fn render_row(page: &mut String, entry: &TimelineEntry, hosts: &BTreeSet<&str>) {
    let wall = wall_text(entry.wall_us);
    append(
        page,
        format_args!("<tr><td class=\"stamp\">{}</td>", entry.logical),
    );
    append(page, format_args!("<td class=\"wall\">{wall}</td>"));
    for host in hosts {
        if *host != entry.host {
            page.push_str("<td></td>");
            continue;
        }
        let class = if entry.name == "gap" { "gap" } else { "event" };
        append(
            page,
            format_args!("<td><div class=\"{class}\">{}", escape(&entry.name)),
        );
        for (name, value) in &entry.fields {
            let (name, value) = (escape(name), escape(value));
            append(
                page,
                format_args!(" <span class=\"fields\">{name}={value}</span>"),
            );
        }
        page.push_str("</div></td>");
    }
    page.push_str("</tr>\n");
}

fn append(page: &mut String, text: std::fmt::Arguments<'_>) {
    // Writing to a `String` cannot fail.
    let _ = page.write_fmt(text);
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}
