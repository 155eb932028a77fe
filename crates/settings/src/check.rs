//! Checks of single values, used by the sections.

use std::net::{IpAddr, SocketAddr};
use std::str::FromStr;

use toml::Value;

use crate::TokenRole;

/// Longest name, in bytes.
const MAX_NAME_BYTES: usize = 63;
/// Shortest secret, in bytes.
const MIN_SECRET_BYTES: usize = 16;

/// A whole number from `MIN` to `MAX`.
pub(crate) fn number<const MIN: i64, const MAX: i64>(value: &Value) -> bool {
    value.as_integer().is_some_and(|n| (MIN..=MAX).contains(&n))
}

/// A time in seconds, whole or not, from `MIN` to `MAX`.
pub(crate) fn seconds<const MIN: i64, const MAX: i64>(value: &Value) -> bool {
    let whole = value.as_integer().map(|n| n as f64);
    let number = value.as_float().or(whole);
    number.is_some_and(|n| (MIN as f64..=MAX as f64).contains(&n))
}

/// A path of a URL.
pub(crate) fn path(value: &Value) -> bool {
    value.as_str().is_some_and(|s| s.starts_with('/'))
}

/// `true` or `false`.
pub(crate) fn boolean(value: &Value) -> bool {
    value.is_bool()
}

/// Any text.
pub(crate) fn text(value: &Value) -> bool {
    value.is_str()
}

/// A name.
pub(crate) fn name(value: &Value) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
    value
        .as_str()
        .is_some_and(|s| (1..=MAX_NAME_BYTES).contains(&s.len()) && s.bytes().all(allowed))
}

/// Text of one of the forms of `T`.
pub(crate) fn parsed<T: FromStr>(value: &Value) -> bool {
    value.as_str().is_some_and(|s| s.parse::<T>().is_ok())
}

/// An address and port.
pub(crate) fn socket(value: &Value) -> bool {
    parsed::<SocketAddr>(value)
}

/// An address.
pub(crate) fn ip(value: &Value) -> bool {
    parsed::<IpAddr>(value)
}

/// A list of addresses and ports.
pub(crate) fn sockets(value: &Value) -> bool {
    value.as_array().is_some_and(|list| list.iter().all(socket))
}

/// A list of names.
pub(crate) fn names(value: &Value) -> bool {
    value.as_array().is_some_and(|list| list.iter().all(name))
}

/// Empty, or at least 16 bytes of text.
pub(crate) fn secret(value: &Value) -> bool {
    value
        .as_str()
        .is_some_and(|s| s.is_empty() || s.len() >= MIN_SECRET_BYTES)
}

/// A list of tokens.
pub(crate) fn tokens(value: &Value) -> bool {
    value.as_array().is_some_and(|list| list.iter().all(token))
}

fn token(value: &Value) -> bool {
    let Some(table) = value.as_table() else {
        return false;
    };
    let long_enough = |v: &Value| v.as_str().is_some_and(|s| s.len() >= MIN_SECRET_BYTES);
    table.get("name").is_some_and(name)
        && table.get("role").is_none_or(parsed::<TokenRole>)
        && table.get("owners").is_none_or(names)
        && table.get("secret").is_some_and(long_enough)
}
