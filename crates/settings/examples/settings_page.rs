//! Prints docs/SETTINGS.md, generated from the code.

fn main() {
    let page = include_str!("../../../docs/SETTINGS.md");
    let head = page.split("## `[").next().unwrap_or_default();
    print!("{head}{}", sequoiatrail_settings::markdown());
}
