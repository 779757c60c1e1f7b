//! Output as text tables or JSON.

use serde_json::Value;

/// The output format.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Format {
    /// Tables and messages for people.
    Text,
    /// One JSON value on a line, for programs.
    Json,
}

/// Prints a table with left-aligned columns, each as wide as its longest cell.
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

/// Prints a JSON value on one line.
pub(crate) fn print_json(value: &Value) {
    println!("{value}");
}
