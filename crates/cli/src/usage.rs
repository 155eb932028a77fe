//! The help text.

use strum::{EnumMessage, IntoEnumIterator};

use crate::Exit;
use crate::options::options;

const BRIEF: &str = "\
Usage: sequoiatrail [OPTIONS] COMMAND

Commands:
    table show                      show the current table
    table check FILE                check a CSV file and show what it would change
    table apply FILE                replace the table by a CSV file
    table edit SERVICE TARGET COLUMN=VALUE...
                                    change cells of one row
    table export [FILE]             write the current table as CSV
    target start SERVICE TARGET     let a target take new flows
    target stop SERVICE TARGET      give a target no new flows
    service list                    list services
    status                          show balancers, targets and flows
    explain SERVICE SOURCE          show which target a client's flow goes to
    drain                           stop the balancer gracefully

`table export` records the table version in the file; `table apply` rejects
the file if the table has changed since. A file without a version is applied
to an empty table only, unless --base is given.

Environment: SEQUOIATRAIL_ADMIN, SEQUOIATRAIL_TOKEN, SEQUOIATRAIL_TOKEN_FILE";

/// Full help text, with the exit codes.
pub(crate) fn help() -> String {
    let mut text = options().usage(BRIEF);
    text.push_str("\nExit codes:\n");
    for exit in Exit::iter() {
        let message = exit.get_message().unwrap_or_default();
        text.push_str(&format!("    {}   {message}\n", exit as u8));
    }
    text
}
