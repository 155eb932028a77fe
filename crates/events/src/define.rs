//! The `events!` macro.

/// Defines [`Event`] and [`EventKind`]; each doc comment is the meaning in the catalogue.
macro_rules! events {
    ($(
        #[doc = $meaning:literal]
        $id:literal $level:ident $name:ident {
            $( #[doc = $description:literal] $field:ident: $kind:ty, )*
        }
    )+) => {
        /// A numbered event with its fields.
        #[derive(Clone, Debug, PartialEq, strum::EnumDiscriminants)]
        #[strum_discriminants(
            name(EventKind),
            derive(Hash, PartialOrd, Ord, strum::EnumIter, strum::IntoStaticStr),
            strum(serialize_all = "snake_case"),
            doc = "The kind of an event, without its fields."
        )]
        pub enum Event {
            $(
                #[doc = $meaning]
                $name {
                    $( #[doc = $description] $field: $kind, )*
                },
            )+
        }

        impl EventKind {
            /// Event ID; stable, and never reused for another event.
            pub fn id(self) -> u16 {
                match self {
                    $( EventKind::$name => $id, )+
                }
            }

            /// Log level of the event.
            pub fn level(self) -> Level {
                match self {
                    $( EventKind::$name => Level::$level, )+
                }
            }

            /// Meaning of the event, as listed in the catalogue.
            pub fn meaning(self) -> &'static str {
                match self {
                    $( EventKind::$name => $meaning.trim_ascii(), )+
                }
            }

            /// Field names.
            pub fn fields(self) -> &'static [&'static str] {
                match self {
                    $( EventKind::$name => &[$( stringify!($field) ),*], )+
                }
            }
        }

        impl KV for Event {
            fn serialize(&self, record: &Record<'_>, serializer: &mut dyn Serializer) -> slog::Result {
                match self {
                    $(
                        #[allow(unused_variables)]
                        Event::$name { $( $field ),* } => {
                            $( Value::serialize($field, record, stringify!($field), serializer)?; )*
                            Ok(())
                        }
                    )+
                }
            }
        }
    };
}
pub(crate) use events;
