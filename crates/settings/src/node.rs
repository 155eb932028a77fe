//! VM settings.

use crate::check;
use crate::key::section;

section! {
    /// The VM that the balancer runs on.
    "node" NodeSettings {
        /// Name of the VM in logs and in the platform status.
        name: String = "balancer".into(), "1 to 63 of a-z, A-Z, 0-9, `-`, `_`, `.`", check::name;
        /// ID of the failure domain of the VM.
        failure_domain: u16 = 1, "0 to 65535", check::number::<0, 65_535>;
    }
}
