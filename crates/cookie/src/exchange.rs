//! What balancers tell each other of their load.
//!
//! Load: targets that many balancers use, so that none of them sees a queue by itself.
//! Reads the own load per target and the demand per service; a lost report is followed
//! by the next.

pub(crate) mod domain_load;
pub(crate) mod load;
pub(crate) mod load_exchange;
pub(crate) mod load_message;
pub(crate) mod load_rates;
pub(crate) mod load_report;
pub(crate) mod load_rotation;
