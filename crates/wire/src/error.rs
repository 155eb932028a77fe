//! Why bytes are not a message.

use snafu::Snafu;

/// Why bytes are not a message of another balancer.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The key of the settings is too short to keep strangers out.
    #[snafu(display("the shared key has {len} bytes, at least {min} are needed"))]
    ShortKey {
        /// Bytes given.
        len: usize,
        /// Bytes needed.
        min: usize,
    },
    /// Longer than any datagram that a balancer sends, or too short for a tag.
    #[snafu(display("a datagram of {len} bytes"))]
    InvalidLength {
        /// Bytes received.
        len: usize,
    },
    /// The tag does not match: a stranger, another key or a damaged datagram.
    #[snafu(display("the authentication tag does not match"))]
    TagMismatch,
    /// Not a Cap'n Proto message, or one that its limits refuse.
    #[snafu(display("the encoding is broken: {source}"))]
    Encoding {
        /// What the decoder said.
        source: capnp::Error,
    },
    /// A kind of message, or a name in one, that this version does not know.
    #[snafu(display("an unknown kind of value: {source}"))]
    UnknownVariant {
        /// What the decoder said.
        source: capnp::NotInSchema,
    },
    /// A field holds a value that no balancer sends.
    #[snafu(display("the field {field} is out of range"))]
    FieldOutOfRange {
        /// Name of the field.
        field: &'static str,
    },
}

/// Result of decoding.
pub type Result<T, E = Error> = std::result::Result<T, E>;
