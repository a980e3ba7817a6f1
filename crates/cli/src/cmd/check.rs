//! `stairhinge check`: is a file fit to be published or started with?

use std::path::{Path, PathBuf};

use argh::FromArgs;
use stairhinge::Code;
use stairhinge::declaration::{Fault, Faults, Fleet, MAX_DOCUMENT_BYTES};
use stairhinge_shell::settings::Values;

/// check a declaration or settings file; exits with 1 if it has faults
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub struct Args {
    /// file to check
    #[argh(positional)]
    file: PathBuf,
    /// what it is: declaration, entry or agent (default: by its content)
    #[argh(option, long = "as")]
    kind: Option<String>,
}

/// Runs the command.
pub fn run(args: &Args) -> bool {
    match check(args) {
        Ok(line) => {
            println!("{}: {line}", args.file.display());
            true
        }
        Err(faults) => {
            for fault in faults.iter() {
                println!("{}: {fault}", args.file.display());
            }
            false
        }
    }
}

fn check(args: &Args) -> Result<String, Faults> {
    let text = read(&args.file)?;
    let kind = args.kind.as_deref().unwrap_or_else(|| guess(&text));
    match kind {
        "declaration" => Ok(Fleet::parse(&text)?.summary()),
        "agent" => settings(&text, &stairhinge_agent::table(), "agent"),
        "entry" => settings(&text, &stairhinge_entry::table(), "entry"),
        other => Err(Faults::from(Fault::new(
            Code::OutOfRange,
            0,
            "--as",
            format_args!("\"{other}\""),
            "declaration, entry or agent",
        ))),
    }
}

/// Reads a file of bounded size.
pub fn read(path: &Path) -> Result<String, Faults> {
    let fault = |code, value: &dyn std::fmt::Display, allowed: &str| {
        let field = path.display().to_string();
        Faults::from(Fault::new(code, 0, field, value, allowed))
    };
    let size = std::fs::metadata(path)
        .map_err(|e| fault(Code::Unreadable, &e, "a readable file"))?
        .len();
    if size > MAX_DOCUMENT_BYTES as u64 {
        let value = format!("{size} bytes");
        let allowed = format!("at most {MAX_DOCUMENT_BYTES} bytes");
        return Err(fault(Code::TooLarge, &value, &allowed));
    }
    std::fs::read_to_string(path)
        .map_err(|e| fault(Code::Unreadable, &e, "a readable UTF-8 file"))
}

/// Only declarations have a revision, and only agents a backend.
fn guess(text: &str) -> &'static str {
    let has = |name: &str| text.lines().any(|l| l.starts_with(name));
    if has("backend:") {
        "agent"
    } else if has("http:") {
        "entry"
    } else {
        "declaration"
    }
}

fn settings(
    text: &str,
    table: &[stairhinge_shell::settings::Field],
    what: &str,
) -> Result<String, Faults> {
    let values = Values::parse(text, table)?;
    Ok(format!(
        "settings of {what} {} in {}",
        values.text("name"),
        values.text("hall")
    ))
}
