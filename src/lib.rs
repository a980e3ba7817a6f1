/*!
Distribution and serving of model weights under bursts of requests: where the
weights are copied, when an instance may serve a version, and which backend
server gets each request.

This crate contains the decision logic and performs no I/O. It reads no clock,
opens no socket and starts no task: its input is events and the current
[`Time`], its output is actions. The programs, the model checker, the replay
of recorded traces and the tests all run the same code.

# Overview

* [`declaration`] parses and validates what operators declare.
* [`document`] decides which published documents a process accepts. It never
  goes back to an older revision, takes the newest from any peer that has it,
  and keeps calls to the platform few.
* [`weights`] plans how the chunks of a version reach every replica.
* [`serving`] decides when an agent may admit requests and which orders it
  sends to its engine.
* [`request`] controls the execution of requests: at most once for those that
  must not be repeated, fair admission under load, and an immediate answer
  when a request is abandoned.
* [`routing`] selects a backend server.
* [`direct`] serves requests from entries directly to replicas: routes, keys,
  retries, resumption of streams at another replica, and rollout order.
* [`overload`] decides which requests are served first, which are refused at
  once and when their callers may return while capacity is short.
* [`buffers`] bounds what an entry holds for callers that read slowly.
* [`poison`] detects requests that crash the replicas that run them.
* [`placing`] lets one entry of a data hall select replicas for all entries of
  that hall.
* [`health`] detects and excludes failing and slow replicas by the outcomes of
  their requests.
* [`event`] merges the events of all processes into one timeline.
* [`explanation`] derives from logs why a request ended as it did.
* [`number`] parses numbers in settings and documents.

# Example

Validate two declarations and list the effects of changing from one to the
other:

```
use stairhinge::declaration::{Fleet, diff};

let digest = "0".repeat(64);
let text = |revision: u32, replicas: u32| format!(
    "revision: {revision}
name: hallazgos
sites: [{{name: rivera}}]
models:
  - name: matcher
    serve: v1
    versions: [{{name: v1, manifest: '{digest}'}}]
    placements: [{{site: rivera, replicas: {replicas}}}]
"
);
let old = Fleet::parse(&text(1, 4)).unwrap();
let new = Fleet::parse(&text(2, 6)).unwrap();
assert_eq!(diff(&old, &new), ["model matcher: 6 replicas instead of 4"]);
```

# Further reading

`DESIGN.md` gives the design, its reasons and the alternatives that were
rejected. `docs/PROOFS.md` lists which properties are proved and which are
not. `docs/OPERATIONS.md` describes operation. The I/O is in `crates/shell`;
the programs are in `crates/entry`, `crates/agent` and `crates/cli`.
*/

pub mod buffers;
pub mod declaration;
pub mod direct;
pub mod document;
pub mod event;
pub mod explanation;
pub mod health;
pub mod number;
pub mod overload;
pub mod placing;
pub mod poison;
pub mod rank;
pub mod request;
pub mod routing;
pub mod serving;
pub mod weights;

mod clock;
mod code;
mod digest;
mod error;
mod ran;
mod time;

pub use self::clock::Clock;
pub use self::code::Code;
pub use self::digest::Digest;
pub use self::error::Error;
pub use self::ran::Ran;
pub use self::time::Time;
