//! Parsing of IP packets and construction of reject replies.
//!
//! Packets are encapsulated unmodified as the payload of UDP datagrams, as in
//! the Linux kernel's Foo-over-UDP (FOU).

mod error;
mod packet;
mod parse;
mod quoted;
mod reject;

pub use error::{Error, Result};
pub use packet::{Packet, TcpFields};
pub use parse::parse;
pub use reject::reject_reply;
