//! Routes of the API.

mod edit;
mod health;
mod read;
mod table;

use rocket::{Route, routes};

pub(crate) fn all() -> Vec<Route> {
    routes![
        health::alive,
        health::ready,
        health::metrics,
        read::status,
        read::services,
        read::explain,
        table::show,
        table::check,
        table::replace,
        table::patch,
        edit::start,
        edit::stop,
        edit::drain,
    ]
}
