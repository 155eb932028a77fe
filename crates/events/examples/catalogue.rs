//! Prints docs/EVENTS.md, generated from the code.

fn main() {
    let page = include_str!("../../../docs/EVENTS.md");
    let head = page.split("| Number |").next().unwrap_or_default();
    print!("{head}{}", sequoiatrail_events::markdown());
}
