//! The settings page for operators, generated from the table so that the two agree.

use std::fmt::Write as _;

use crate::table::{ROWS, Row};

const HEADER: &str = "# Settings

One YAML file; `--set key=value` lays single values over it; secrets may come from the environment.
Unknown keys are errors. `tarragon-entry check SETTINGS` prints every finding with its place. A key
`a.b` is written as `b` under the mapping `a`. Durations carry their unit (`250ms`, `3s`, `2m`),
sizes may (`64KiB`, `8MiB`). This page is written from `crates/settings/src/table.rs`; a test keeps
the two alike.

| key | type | default | environment | meaning |
| --- | --- | --- | --- | --- |
";

const FOOTER: &str = "
Keys under `policy` override, on this instance and for trials only, what the catalogue's pools say:
`policy.choice` (`round-robin`, `random`, `least-outstanding`, `two-choices`, `drill`, `scan`, `prefix-hash`,
`affinity`) for all pools, and `policy.transfer` (`false` keeps prefill and decode on one engine).

## Limits of the gateway

They follow from the platform's settings and configuration; none has a key of its own.

| limit | follows from | value | beyond it |
| --- | --- | --- | --- |
| what all connections hold | `limits.memory_mb` | half of it; three quarters of that for connections that hold over 128 KiB | connections that have waited for their callers for a second are closed; else 503 with `Retry-After`, or the new connection is closed unread |
| open descriptors | `limits.max_fds` | 0.9 of them | new connections are closed unread, and an eighth of the others, those that have waited for their callers for longest and for a second at least |
| a connection without a request | | counts as 16 KiB | |
| a body of a known length | its length | counts as a whole from its head on | as the first line |
| a whole answer of an engine | its length | counts until its caller has read it | it is read from the engine once there is room, within the call's deadline |
| an event of a stream over 16 KiB | its size | counts as 96 KiB, or over 48 KiB as 1.1 MiB, until its caller has read it | as the line before |
| a body announced over the limit | `max_body_bytes` | | 413, unread |
| framing of a chunked body | `max_header_bytes`, its content | the former, and 16 bytes for each byte of content | 400 |
| the body of a request at `listen.ready` or at the metrics address | | 1 KiB | 413, unread |
| parts of a prompt that placement looks at | | the first 128; each is remembered as at least 16 tokens of its engine's `kv_capacity` | passed on with the request, and not used here |
| connections to `listen.ready` or to the metrics address | | 64 each | the oldest on which nothing was served is closed, or else the least recently used |
| what a refused caller may still send | | 4 MiB within a second | the connection is closed |
";

/// Renders the text of `docs/SETTINGS.md`.
pub fn render() -> String {
    let mut text = String::from(HEADER);
    for row in ROWS {
        let _ = writeln!(
            text,
            "| `{}` | {} | {} | {} | {} |",
            row.key,
            row.kind.label(),
            default_cell(row),
            row.environment
                .map_or(String::new(), |name| format!("`{name}`")),
            row.meaning,
        );
    }
    text.push_str(FOOTER);
    text
}

fn default_cell(row: &Row) -> String {
    match (row.default, row.required) {
        (Some(default), _) => format!("`{default}`"),
        (None, true) => "required".to_owned(),
        (None, false) => "off".to_owned(),
    }
}
