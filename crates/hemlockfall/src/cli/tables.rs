//! Text tables.

/// Renders rows in aligned columns; the last column is not padded.
pub(crate) fn render(header: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = header.iter().map(|cell| cell.chars().count()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let header: Vec<String> = header.iter().map(ToString::to_string).collect();
    let mut text = line(&widths, &header);
    for row in rows {
        text.push_str(&line(&widths, row));
    }
    text
}

fn line(widths: &[usize], cells: &[String]) -> String {
    let last = cells.len().saturating_sub(1);
    let pad = |(index, (width, cell)): (usize, (&usize, &String))| {
        if index == last {
            format!("{cell}\n")
        } else {
            format!("{cell:<width$}  ")
        }
    };
    widths.iter().zip(cells).enumerate().map(pad).collect()
}

/// Renders rows as a Markdown table.
pub(crate) fn render_markdown(header: &[&str], rows: &[Vec<String>]) -> String {
    let escape = |cell: &String| cell.replace('|', "\\|");
    let to_line = |row: &Vec<String>| {
        let cells: Vec<String> = row.iter().map(escape).collect();
        format!("| {} |\n", cells.join(" | "))
    };
    let body: String = rows.iter().map(to_line).collect();
    let rule = "---|".repeat(header.len());
    format!("| {} |\n|{rule}\n{body}", header.join(" | "))
}
