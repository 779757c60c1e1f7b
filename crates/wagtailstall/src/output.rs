//! Tables for people and JSON for programs.

use serde_json::Value;

/// How results are printed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Format {
    /// Tables and sentences.
    Text,
    /// One JSON value.
    Json,
}

/// Prints rows under headings, each column as wide as it needs to be.
pub(crate) fn print_table(headings: &[&str], rows: &[Vec<String>]) {
    let mut widths: Vec<usize> = headings.iter().map(|heading| heading.len()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.len());
        }
    }
    let print_row = |cells: &[String]| {
        let padded: Vec<String> =
            cells.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}")).collect();
        println!("{}", padded.join("  ").trim_end());
    };
    print_row(&headings.iter().map(|heading| (*heading).to_owned()).collect::<Vec<String>>());
    for row in rows {
        print_row(row);
    }
}

/// Prints one JSON value on a line.
pub(crate) fn print_json(value: &Value) {
    println!("{value}");
}
