//! Environment variables of the tool.

/// Values of the environment variables; empty ones count as unset.
#[derive(Clone, Debug, Default)]
pub struct Environment {
    /// `SEQUOIATRAIL_ADMIN`: address and port of a balancer's administration API.
    pub admin: Option<String>,
    /// `SEQUOIATRAIL_TOKEN`: the secret itself.
    pub token: Option<String>,
    /// `SEQUOIATRAIL_TOKEN_FILE`: a file that holds the secret.
    pub token_file: Option<String>,
}

impl Environment {
    /// Reads the environment of this process.
    pub fn from_process() -> Environment {
        let var = |name| std::env::var(name).ok().filter(|value| !value.is_empty());
        Environment {
            admin: var("SEQUOIATRAIL_ADMIN"),
            token: var("SEQUOIATRAIL_TOKEN"),
            token_file: var("SEQUOIATRAIL_TOKEN_FILE"),
        }
    }
}
