//! The catalogue of keys, from which checks and the page are made.

use std::fmt::Write;

use toml::Value;

use crate::Settings;

/// One key of a section.
#[derive(Clone, Copy, Debug)]
pub struct KeyInfo {
    /// Section.
    pub section: &'static str,
    /// Name.
    pub key: &'static str,
    /// What it is for, with its unit.
    pub description: &'static str,
    /// What it allows.
    pub allowed: &'static str,
    /// Whether a value is allowed.
    pub check: fn(&Value) -> bool,
}

/// Defines a section: its struct, its defaults and its keys.
macro_rules! section {
    (
        #[doc = $doc:literal]
        $section:literal $name:ident {
            $(
                #[doc = $description:literal]
                $field:ident: $kind:ty = $default:expr, $allowed:literal, $check:expr;
            )*
        }
    ) => {
        #[doc = $doc]
        #[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
        #[serde(default)]
        pub struct $name {
            $( #[doc = $description] pub $field: $kind, )*
        }

        impl Default for $name {
            fn default() -> Self {
                Self { $( $field: $default, )* }
            }
        }

        impl $name {
            pub(crate) const DESCRIPTION: &str = $doc;
            pub(crate) const KEYS: &[crate::KeyInfo] = &[$(
                crate::KeyInfo {
                    section: $section,
                    key: stringify!($field),
                    description: $description.trim_ascii(),
                    allowed: $allowed,
                    check: $check,
                },
            )*];
        }
    };
}
pub(crate) use section;

/// The sections, in the order of the page.
pub(crate) const SECTIONS: &[(&str, &[KeyInfo])] = &[
    (crate::NodeSettings::DESCRIPTION, crate::NodeSettings::KEYS),
    (crate::DataSettings::DESCRIPTION, crate::DataSettings::KEYS),
    (
        crate::CookieSettings::DESCRIPTION,
        crate::CookieSettings::KEYS,
    ),
    (
        crate::PeersSettings::DESCRIPTION,
        crate::PeersSettings::KEYS,
    ),
    (
        crate::PlatformSettings::DESCRIPTION,
        crate::PlatformSettings::KEYS,
    ),
    (
        crate::HealthSettings::DESCRIPTION,
        crate::HealthSettings::KEYS,
    ),
    (
        crate::AdminSettings::DESCRIPTION,
        crate::AdminSettings::KEYS,
    ),
    (crate::LogSettings::DESCRIPTION, crate::LogSettings::KEYS),
    (crate::StopSettings::DESCRIPTION, crate::StopSettings::KEYS),
];

/// All keys, in the order of the page.
pub fn keys() -> impl Iterator<Item = &'static KeyInfo> {
    SECTIONS.iter().flat_map(|(_, keys)| keys.iter())
}

/// The keys as Markdown, a table for each section.
pub fn markdown() -> String {
    let defaults = toml::Table::try_from(Settings::default()).unwrap_or_default();
    let mut text = String::new();
    for (description, keys) in SECTIONS {
        let Some(first) = keys.first() else { continue };
        // Writing to a `String` cannot fail.
        let _ = writeln!(
            text,
            "## `[{}]`\n\n{}\n",
            first.section,
            description.trim_ascii()
        );
        text += "| Key | Default | Allowed | Meaning |\n|---|---|---|---|\n";
        for k in *keys {
            let default = defaults.get(k.section).and_then(|s| s.get(k.key));
            let default = default.map_or_else(|| "none".into(), |v| format!("`{v}`"));
            let _ = writeln!(
                text,
                "| `{}` | {default} | {} | {} |",
                k.key, k.allowed, k.description
            );
        }
        text.push('\n');
    }
    text
}
