//! `stairhinge check`: validates a declaration or a settings file.

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
    /// kind of file: declaration, entry or agent (default: inferred from the
    /// content)
    #[argh(option, long = "as")]
    kind: Option<String>,
}

/// Runs the command; returns `false` if the file has faults.
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
    let text = read_document(&args.file)?;
    let kind = args.kind.as_deref().unwrap_or_else(|| infer_kind(&text));
    match kind {
        "declaration" => Ok(Fleet::parse(&text)?.summary()),
        "agent" => check_settings(&text, &stairhinge_agent::table(), "agent"),
        "entry" => check_settings(&text, &stairhinge_entry::table(), "entry"),
        other => Err(Faults::from(Fault::new(
            Code::OutOfRange,
            0,
            "--as",
            format_args!("\"{other}\""),
            "declaration, entry or agent",
        ))),
    }
}

/// Reads a UTF-8 file of at most [`MAX_DOCUMENT_BYTES`].
///
/// # Errors
///
/// [`Code::Unreadable`] or [`Code::TooLarge`].
pub fn read_document(path: &Path) -> Result<String, Faults> {
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

/// Infers the kind of a file from its top-level keys: only agents have
/// `backend`, and of the other kinds only entries have `http`.
fn infer_kind(text: &str) -> &'static str {
    let has_key = |key: &str| text.lines().any(|l| l.starts_with(key));
    if has_key("backend:") {
        "agent"
    } else if has_key("http:") {
        "entry"
    } else {
        "declaration"
    }
}

fn check_settings(
    text: &str,
    table: &[stairhinge_shell::settings::Field],
    role: &str,
) -> Result<String, Faults> {
    let values = Values::parse(text, table)?;
    Ok(format!(
        "settings of {role} {} in {}",
        values.text("name"),
        values.text("hall")
    ))
}
