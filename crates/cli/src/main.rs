//! `sequoiatrail`: the operators' command-line tool.

use std::process::ExitCode;

use sequoiatrail_cli::{Environment, run};

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let env = Environment::from_process();
    let code = run(&args, &env, &mut std::io::stdout(), &mut std::io::stderr());
    ExitCode::from(code as u8)
}
