//! Errors of keys and of decoding.

use snafu::Snafu;

/// Errors of [`Key::new`](crate::Key::new) and [`decode()`](crate::decode()).
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The shared key is too short to be secure.
    #[snafu(display("shared key too short: {len} bytes, at least {min} required"))]
    ShortKey {
        /// Length of the given key, in bytes.
        len: usize,
        /// Minimum length, in bytes.
        min: usize,
    },
    /// The datagram is too long, too short for a tag, or has bytes after the message.
    #[snafu(display("invalid datagram length: {len} bytes"))]
    InvalidLength {
        /// Length of the datagram, in bytes.
        len: usize,
    },
    /// The tag does not match: another key, a forged or a corrupted datagram.
    #[snafu(display("authentication tag mismatch"))]
    TagMismatch,
    /// Not a valid Cap'n Proto message, or one beyond the reader's limits.
    #[snafu(display("invalid encoding: {source}"))]
    Encoding {
        /// Error of the Cap'n Proto reader.
        source: capnp::Error,
    },
    /// A union or enum value that this version of the schema does not define.
    #[snafu(display("unknown variant: {source}"))]
    UnknownVariant {
        /// Error of the Cap'n Proto reader.
        source: capnp::NotInSchema,
    },
    /// A field has a value outside its valid range.
    #[snafu(display("field `{field}` out of range"))]
    FieldOutOfRange {
        /// Name of the schema field.
        field: &'static str,
    },
}

/// Result type of this crate.
pub type Result<T, E = Error> = std::result::Result<T, E>;
