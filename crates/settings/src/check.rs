//! Validators of single values, used by the sections.

use std::net::{IpAddr, SocketAddr};
use std::str::FromStr;

use toml::Value;

use crate::TokenRole;

/// Maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 63;
/// Minimum length of a secret, in bytes.
const MIN_SECRET_BYTES: usize = 16;

/// Accepts an integer from `MIN` to `MAX`.
pub(crate) fn number<const MIN: i64, const MAX: i64>(value: &Value) -> bool {
    value.as_integer().is_some_and(|n| (MIN..=MAX).contains(&n))
}

/// Accepts an integer or fractional number from `MIN` to `MAX`.
pub(crate) fn decimal<const MIN: i64, const MAX: i64>(value: &Value) -> bool {
    let whole = value.as_integer().map(|n| n as f64);
    let number = value.as_float().or(whole);
    number.is_some_and(|n| (MIN as f64..=MAX as f64).contains(&n))
}

/// Accepts an absolute URL path.
pub(crate) fn path(value: &Value) -> bool {
    value.as_str().is_some_and(|s| s.starts_with('/'))
}

/// Accepts a boolean.
pub(crate) fn boolean(value: &Value) -> bool {
    value.is_bool()
}

/// Accepts any string.
pub(crate) fn text(value: &Value) -> bool {
    value.is_str()
}

/// Accepts a name of ASCII letters, digits, `-`, `_` and `.`.
pub(crate) fn name(value: &Value) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
    value
        .as_str()
        .is_some_and(|s| (1..=MAX_NAME_BYTES).contains(&s.len()) && s.bytes().all(allowed))
}

/// Accepts a string that parses as `T`.
pub(crate) fn parsed<T: FromStr>(value: &Value) -> bool {
    value.as_str().is_some_and(|s| s.parse::<T>().is_ok())
}

/// Accepts an IP address and port.
pub(crate) fn socket(value: &Value) -> bool {
    parsed::<SocketAddr>(value)
}

/// Accepts an IP address.
pub(crate) fn ip(value: &Value) -> bool {
    parsed::<IpAddr>(value)
}

/// Accepts a list of IP addresses with ports.
pub(crate) fn sockets(value: &Value) -> bool {
    value.as_array().is_some_and(|list| list.iter().all(socket))
}

/// Accepts a list of names.
pub(crate) fn names(value: &Value) -> bool {
    value.as_array().is_some_and(|list| list.iter().all(name))
}

/// Accepts an empty string or a secret of at least [`MIN_SECRET_BYTES`].
pub(crate) fn secret(value: &Value) -> bool {
    value
        .as_str()
        .is_some_and(|s| s.is_empty() || s.len() >= MIN_SECRET_BYTES)
}

/// Accepts a list of API tokens.
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
