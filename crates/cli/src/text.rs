//! Renders JSON as text for people: nested objects are indented, lists of flat objects are tables.

use std::fmt::Write;

use serde_json::{Map, Value};

/// Spaces between two columns of a table.
const COLUMN_GAP: usize = 2;

/// Renders a value as text that ends with a line feed.
pub fn render(value: &Value) -> String {
    let mut out = String::new();
    write_value(&mut out, value, 0);
    out
}

fn write_value(out: &mut String, value: &Value, depth: usize) {
    match value {
        Value::Object(map) => write_object(out, map, depth),
        Value::Array(list) if list.iter().all(is_flat_object) && !list.is_empty() => {
            write_table(out, list, depth);
        }
        Value::Array(list) => {
            for item in list {
                indent(out, depth);
                if is_nested(item) {
                    out.push_str("-\n");
                    write_value(out, item, depth + 1);
                } else {
                    writeln!(out, "- {}", scalar(item)).ok();
                }
            }
        }
        scalar_value => {
            indent(out, depth);
            writeln!(out, "{}", scalar(scalar_value)).ok();
        }
    }
}

fn write_object(out: &mut String, map: &Map<String, Value>, depth: usize) {
    for (name, value) in map {
        indent(out, depth);
        if is_nested(value) {
            writeln!(out, "{name}:").ok();
            write_value(out, value, depth + 1);
        } else {
            writeln!(out, "{name}: {}", scalar(value)).ok();
        }
    }
}

fn write_table(out: &mut String, rows: &[Value], depth: usize) {
    let mut columns: Vec<&str> = Vec::new();
    for name in rows.iter().filter_map(Value::as_object).flat_map(Map::keys) {
        if !columns.contains(&name.as_str()) {
            columns.push(name);
        }
    }
    let cell = |row: &Value, column: &str| row.get(column).map(scalar).unwrap_or_default();
    let widths: Vec<_> = columns
        .iter()
        .map(|column| {
            let cells = rows.iter().map(|row| cell(row, column).chars().count());
            cells.chain([column.chars().count()]).max().unwrap_or(0)
        })
        .collect();
    let mut write_row = |cells: Vec<String>| {
        let padded = cells
            .iter()
            .zip(&widths)
            .fold(String::new(), |mut line, (cell, width)| {
                let width = width + COLUMN_GAP;
                write!(line, "{cell:<width$}").ok();
                line
            });
        indent(out, depth);
        out.push_str(padded.trim_end());
        out.push('\n');
    };
    write_row(columns.iter().map(|column| (*column).to_owned()).collect());
    for row in rows {
        write_row(columns.iter().map(|column| cell(row, column)).collect());
    }
}

fn is_nested(value: &Value) -> bool {
    match value {
        Value::Object(map) => !map.is_empty(),
        Value::Array(list) => !list.is_empty(),
        _ => false,
    }
}

fn is_flat_object(value: &Value) -> bool {
    value
        .as_object()
        .is_some_and(|map| !map.values().any(is_nested))
}

fn scalar(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        Value::Array(_) | Value::Object(_) => "none".to_owned(),
        other => other.to_string(),
    }
}

fn indent(out: &mut String, depth: usize) {
    out.push_str(&" ".repeat(2 * depth));
}
