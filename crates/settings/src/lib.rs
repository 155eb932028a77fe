//! Settings of the balancer daemon.
//!
//! A TOML file with one section per component. Every value is validated; an
//! error names the file, the key, the value and the allowed values. Unknown keys
//! are returned so that the caller can warn about them. Omitted keys have their
//! defaults.

mod admin;
mod check;
mod cookie;
mod data;
mod error;
mod health;
mod key;
mod load;
mod log;
mod node;
mod peers;
mod platform;
mod stop;

pub use admin::{AdminSettings, TokenRole, TokenSettings};
pub use cookie::CookieSettings;
pub use data::{DataSettings, Format};
pub use error::{Error, Result};
pub use health::{HealthSettings, Probe};
pub use key::{KeyInfo, keys, markdown};
pub use load::{Loaded, Settings, from_toml, load};
pub use log::LogSettings;
pub use node::NodeSettings;
pub use peers::PeersSettings;
pub use platform::PlatformSettings;
pub use stop::StopSettings;
