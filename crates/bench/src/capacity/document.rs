//! The parts of a page that are generated: between two comments that name them.

/// Replaces the part `name` of `text`.
pub fn replace(text: &str, name: &str, part: &str) -> Result<String, String> {
    let begin = format!("<!-- begin {name} -->");
    let end = format!("<!-- end {name} -->");
    let start = text
        .find(&begin)
        .ok_or_else(|| format!("the page lacks {begin}"))?
        + begin.len();
    let length = text[start..]
        .find(&end)
        .ok_or_else(|| format!("the page lacks {end}"))?;
    Ok(format!(
        "{}\n\n{}\n{}",
        &text[..start],
        part,
        &text[start + length..]
    ))
}
