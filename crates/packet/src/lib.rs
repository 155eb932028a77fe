//! Parsing, encapsulation and answers for IP packets.
//!
//! Encapsulation is an IP packet as the payload of a UDP datagram, as kernels
//! offer it under the name "foo over UDP"; so the packet itself is untouched.

mod error;
mod packet;
mod parse;
mod quoted;
mod reject;

pub use error::{Error, Result};
pub use packet::{Packet, TcpFields};
pub use parse::parse;
pub use reject::reject_reply;
