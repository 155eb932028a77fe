//! Messages between balancers, their encoding and authentication.
//!
//! A datagram is a packed Cap'n Proto message followed by an authentication
//! tag under a key shared by all balancers. Other crates use the typed messages
//! in [`message`].
//!
//! [`decode()`] verifies the tag before it parses the message, then checks every
//! field against [`limits`]. It never allocates more than a small multiple of
//! [`limits::DATAGRAM_BYTES`].

mod decode;
mod encode;
mod error;
mod key;
pub mod limits;
pub mod message;
mod replay;

pub use decode::decode;
pub use encode::encode;
pub use error::{Error, Result};
pub use key::{Key, TAG_BYTES, Tag};
pub use replay::{ReplayGuard, ReplayWindow};

/// Code generated from the Cap'n Proto schemas.
#[allow(missing_docs, clippy::all)]
mod generated {
    pub mod bulk_capnp;
    pub mod peer_capnp;
}
/// RPC interfaces of bulk transfer, generated from `schema/bulk.capnp`.
pub use generated::bulk_capnp;
pub(crate) use generated::peer_capnp;
