//! Settings of the balancer daemon.
//!
//! A TOML file with a section per part. Every key is checked: an error names
//! the file, the key, the value and what is allowed. Unknown keys are returned
//! by name, so that they can be warned about. A key left out has its default.

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
