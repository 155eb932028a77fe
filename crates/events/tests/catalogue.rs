//! Checks that docs/EVENTS.md matches the catalogue in the code.

use std::collections::BTreeSet;

use sequoiatrail_events::{EventKind, markdown};
use strum::IntoEnumIterator;

#[test]
fn page_lists_exactly_the_events_of_the_code() {
    let page = include_str!("../../../docs/EVENTS.md");
    let start = page.find("| Number |").expect("the page has a table");
    assert_eq!(&page[start..], markdown());
}

#[test]
fn numbers_and_names_are_unique() {
    let ids: BTreeSet<u16> = EventKind::iter().map(EventKind::id).collect();
    let names: BTreeSet<&'static str> = EventKind::iter().map(Into::into).collect();
    assert_eq!(ids.len(), EventKind::iter().count());
    assert_eq!(names.len(), EventKind::iter().count());
}
