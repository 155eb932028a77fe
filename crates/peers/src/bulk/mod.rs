//! Bulk transfer of tables, plans and state between balancers over TCP.

mod client;
mod proof;
mod server;

pub(crate) use client::{Session, fetch};
pub(crate) use server::Server;

use std::time::Duration;

use capnp::message::ReaderOptions;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use futures::AsyncReadExt;
use futures::io::{BufReader, Take};
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio_util::compat::{Compat, TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

/// Maximum size of a table or plan in bytes, the same as the limit of the platform.
const MAX_BODY_BYTES: usize = 1 << 20;
/// Maximum size of one part of the state, in bytes.
const MAX_STATE_PART_BYTES: usize = 64 * 1_024;
/// Maximum number of messages in the state.
const MAX_STATE_MESSAGES: usize = 65_536;
/// Timeout of a whole transfer.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout of the TCP connection setup.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Size of a Cap'n Proto word, in bytes.
const WORD_BYTES: usize = 8;
/// Maximum size of a request message, in words.
const MAX_REQUEST_WORDS: usize = 1_024;
/// Maximum size of a response message in words: a body, with room for its framing.
const MAX_RESPONSE_WORDS: usize = 2 * MAX_BODY_BYTES / WORD_BYTES;
/// Maximum total size of the requests on a connection, in bytes.
const MAX_REQUEST_BYTES: u64 = 256 * 1_024;
/// Maximum total size of the responses on a connection, in bytes.
const MAX_RESPONSE_BYTES: u64 = 32 * 1_024 * 1_024;
/// Maximum pointer depth of a message.
const MAX_NESTING_DEPTH: i32 = 16;

type RpcNetwork = VatNetwork<BufReader<Take<Compat<OwnedReadHalf>>>>;

/// Wraps a stream as an RPC connection on which `side` reads at most `max_bytes`
/// in total and `max_message_words` per message.
fn rpc_network(
    stream: TcpStream,
    side: Side,
    max_message_words: usize,
    max_bytes: u64,
) -> RpcNetwork {
    let (reader, writer) = stream.into_split();
    let reader = BufReader::new(reader.compat().take(max_bytes));
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(max_message_words));
    options.nesting_limit(MAX_NESTING_DEPTH);
    VatNetwork::new(reader, writer.compat_write(), side, options)
}
