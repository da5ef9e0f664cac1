//! Renders the report as a self-contained HTML page.

use std::fmt::Write;
use std::time::{Duration, UNIX_EPOCH};

use crate::plot;
use crate::report::{Line, Report};
use crate::text;

const STYLE: &str = "body{font:15px/1.4 system-ui,sans-serif;margin:2em;max-width:70em;color:#222}\
table{border-collapse:collapse;margin-top:1em}\
th,td{padding:.25em .6em;text-align:right;white-space:nowrap;border-bottom:1px solid #ddd}\
th:first-child,td:first-child{text-align:left}\
tr.alarm td{background:#fdecea}\
.missing{color:#a00}";

const COLUMNS: [&str; 14] = [
    "entry",
    "objective",
    "total",
    "bad",
    "refused",
    "late",
    "failed",
    "unknown",
    "left %",
    "5 m",
    "1 h",
    "30 m",
    "6 h",
    "alarm",
];

pub(crate) fn render(report: &Report) -> String {
    let mut page = String::new();
    page.push_str("<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">");
    page.push_str("<title>Service-level burn</title><style>");
    page.push_str(STYLE);
    page.push_str("</style></head><body>\n<h1>Service-level burn</h1>\n");
    sources(&mut page, report);
    page.push_str("<p>Burn rate over ten minutes, of the worst entries; alarm lines dashed.</p>\n");
    page.push_str(&plot::render(report));
    table(&mut page, report);
    page.push_str("</body></html>\n");
    page
}

fn sources(page: &mut String, report: &Report) {
    let at = UNIX_EPOCH + Duration::from_secs(report.at);
    // Writing to a String can't fail.
    let _never = write!(
        page,
        "<p>Made at {}, merged from {} processes.</p>",
        humantime::format_rfc3339_seconds(at),
        report.sources
    );
    if !report.missing.is_empty() {
        let missing = escape(&report.missing.join(", "));
        let _never = write!(page, "<p class=\"missing\">Missing: {missing}</p>");
    }
}

fn table(page: &mut String, report: &Report) {
    page.push_str("\n<table><thead><tr>");
    for column in COLUMNS {
        let _never = write!(page, "<th>{column}</th>");
    }
    page.push_str("</tr></thead><tbody>\n");
    for line in &report.lines {
        row(page, line);
    }
    page.push_str("</tbody></table>\n");
}

fn row(page: &mut String, line: &Line) {
    let class = if line.alarms() > 0 {
        " class=\"alarm\""
    } else {
        ""
    };
    let counts = &line.counts;
    let _never = write!(
        page,
        "<tr{class}><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{:.1}</td>",
        escape(&line.entry),
        line.objective,
        counts.total(),
        counts.bad(),
        counts.refused,
        counts.late,
        counts.failed,
        counts.unknown,
        line.left * 100.0,
    );
    for pair in &line.pairs {
        let (short, long) = (pair.short.burn, pair.long.burn);
        let _never = write!(page, "<td>{short:.1}</td><td>{long:.1}</td>");
    }
    let alarms = text::alarms(line).join(" ");
    let _never = writeln!(page, "<td>{alarms}</td></tr>");
}

/// Escapes markup: operators choose the names, and other people open the page.
fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}
