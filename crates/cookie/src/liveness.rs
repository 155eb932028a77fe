//! Which targets are alive, from packets, probes and other balancers' reports.
//!
//! Fault: targets that crash, hang, or are cut off, while packets may also be lost for
//! other reasons. Reads the clients' packets, since the answers of targets don't pass
//! this VM.

pub(crate) mod attempts;
pub(crate) mod evidence;
pub(crate) mod health;
pub(crate) mod observe;
pub(crate) mod reports;
pub(crate) mod silence;
