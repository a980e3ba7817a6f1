//! Numbered result codes.
//!
//! Every failure that is reported to a caller, to an operator or in a log has
//! one number. All codes are defined in the table below. `docs/ERRORS.md` is
//! rendered from it, and a test compares the two.

use std::fmt;

use crate::Ran;

macro_rules! codes {
    ($($name:ident = $number:literal, $status:literal, $ran:expr,
       $meaning:literal, $remedy:literal;)*) => {
        /// A numbered result code.
        ///
        /// 1xxx are errors in the caller's request, 2xxx in configuration,
        /// 3xxx in serving, 4xxx in weight transfer and 5xxx in a process.
        #[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
        #[repr(u16)]
        pub enum Code {
            $(#[doc = $meaning] $name = $number,)*
        }

        impl Code {
            /// All codes, in ascending order of their numbers.
            pub const ALL: &'static [Code] = &[$(Code::$name,)*];

            /// Returns the HTTP status of a response with this code.
            pub const fn status(self) -> u16 {
                match self { $(Code::$name => $status,)* }
            }

            /// Returns whether a request that failed with this code ran, or
            /// `None` if the code does not concern a request.
            pub const fn ran(self) -> Option<Ran> {
                match self { $(Code::$name => $ran,)* }
            }

            /// Returns a one-sentence description of the code.
            pub const fn meaning(self) -> &'static str {
                match self { $(Code::$name => $meaning,)* }
            }

            /// Returns a one-sentence instruction for resolving it.
            pub const fn remedy(self) -> &'static str {
                match self { $(Code::$name => $remedy,)* }
            }

            /// Returns the code's name.
            pub const fn name(self) -> &'static str {
                match self { $(Code::$name => stringify!($name),)* }
            }
        }
    };
}

const DID_NOT_RUN: Option<Ran> = Some(Ran::DidNotRun);
const MAY_HAVE_RUN: Option<Ran> = Some(Ran::MayHaveRun);
const RAN: Option<Ran> = Some(Ran::Ran);

codes! {
    MalformedHttp = 1001, 400, DID_NOT_RUN,
        "The bytes received are not HTTP.",
        "Fix the client.";
    HeaderTooLarge = 1002, 431, DID_NOT_RUN,
        "The request line and headers exceed the size limit.",
        "Send fewer or shorter headers.";
    BodyTooLarge = 1003, 413, DID_NOT_RUN,
        "The request body exceeds the size limit.",
        "Send a smaller body, or raise `body_kb` in the settings.";
    MalformedJson = 1004, 400, DID_NOT_RUN,
        "The request body is not the JSON that this path expects.",
        "Fix the client; the message gives the position.";
    UnknownModel = 1005, 404, DID_NOT_RUN,
        "No declared model has this name.",
        "Correct the name, or declare the model.";
    UnknownService = 1006, 404, DID_NOT_RUN,
        "No declared plain service has this name.",
        "Correct the name, or declare the service.";
    WrongMethod = 1007, 405, DID_NOT_RUN,
        "The path does not take this method.",
        "Use the method that the message names.";
    UnknownPath = 1008, 404, DID_NOT_RUN,
        "The process serves nothing at this path.",
        "Correct the path.";
    SlowSender = 1009, 408, DID_NOT_RUN,
        "The complete request did not arrive within the time allowed.",
        "Send faster, or raise `body_ms` in the settings.";
    BadHeader = 1010, 400, DID_NOT_RUN,
        "A request header has a malformed or out-of-range value.",
        "Correct the header that the message names.";
    UnknownWorkspace = 1011, 403, DID_NOT_RUN,
        "No declared workspace has this name.",
        "Correct the name, or declare the workspace.";
    UnknownRoute = 1012, 404, DID_NOT_RUN,
        "No published route matches this host and path.",
        "Correct the host or path, or publish a route.";
    MissingKey = 1013, 401, DID_NOT_RUN,
        "The route requires a workspace key, and the request has none.",
        "Send a workspace key.";
    UnknownKey = 1014, 401, DID_NOT_RUN,
        "No workspace has this key.",
        "Send a valid key; this one may have been withdrawn.";
    BadYaml = 2001, 400, None,
        "The file is not YAML of the expected form.",
        "Correct the line that the message names.";
    Duplicate = 2002, 400, None,
        "A name that must be unique is used twice.",
        "Rename one of them.";
    UnknownReference = 2003, 400, None,
        "A name refers to something that is not declared.",
        "Declare it, or correct the name.";
    OutOfRange = 2004, 400, None,
        "A value is outside the allowed range of its field.",
        "Choose a value in the range that the message names.";
    TooLarge = 2005, 400, None,
        "The document is larger than the platform stores (1 MB).",
        "Split the fleet, or shorten the declaration.";
    OlderRevision = 2006, 409, None,
        "The document is older than the one in force.",
        "Publish under a higher revision.";
    OtherDigest = 2007, 409, None,
        "The document has the revision in force but different content.",
        "Two operators raced: publish the right one under a higher revision.";
    StaleOrder = 2008, 409, None,
        "The order was based on an older revision than the one in force.",
        "Check the state of the fleet again, then repeat the order.";
    Unreadable = 2009, 400, None,
        "The file cannot be read.",
        "Check the path and its permissions.";
    BadAddress = 2010, 400, None,
        "The value is not an IP address with a port.",
        "Write it as 192.0.2.1:7000 or [2001:db8::1]:7000.";
    BadDigest = 2011, 400, None,
        "The value is not a blake3 digest of 64 hex digits.",
        "Copy the digest that the packing tool prints.";
    Overloaded = 3001, 503, DID_NOT_RUN,
        "The entry holds the maximum number of requests.",
        "Retry after the time given in `Retry-After`.";
    NoBackend = 3002, 503, DID_NOT_RUN,
        "No backend server can accept the request now.",
        "Retry after the time given in `Retry-After`; \
         see `stairhinge status`.";
    DeadlinePassed = 3003, 504, DID_NOT_RUN,
        "The request's deadline passed before it could start.",
        "Retry after the time given in `Retry-After`, or allow more time.";
    Leaving = 3004, 503, DID_NOT_RUN,
        "The process is draining and accepts no new work.",
        "Send the request to another instance.";
    GuardUnreachable = 3005, 503, DID_NOT_RUN,
        "The backend server that guards this key is unreachable.",
        "Retry after the time given in `Retry-After`; \
         the key is not claimed until then.";
    GuardForgetful = 3006, 503, DID_NOT_RUN,
        "The guard of this key has restarted and may have lost its record.",
        "Retry after the time given in `Retry-After`, \
         when the key window has passed.";
    DuplicateRunning = 3007, 409, MAY_HAVE_RUN,
        "A request with this key was accepted; it is running or may have run.",
        "Wait for the answer to the first request.";
    DuplicateRan = 3008, 409, RAN,
        "A request with this key has run.",
        "Do not send it again; check its effect with the people concerned.";
    Revoked = 3009, 409, DID_NOT_RUN,
        "The attempt was revoked before it arrived.",
        "None: the entry has already answered the caller.";
    LostBackend = 3010, 502, MAY_HAVE_RUN,
        "The backend server failed or became unreachable before it answered.",
        "Repeat the request only if it is repeatable.";
    AnswerBroke = 3011, 502, MAY_HAVE_RUN,
        "The answer ended before it was complete.",
        "Discard the part received; repeat only if repeatable.";
    WrongVersion = 3012, 502, MAY_HAVE_RUN,
        "The engine answered with a version other than the one bound.",
        "The answer was discarded; repeat only if repeatable.";
    NotGuard = 3013, 409, DID_NOT_RUN,
        "The backend server is not the guard of this key.",
        "None: the entry refreshes its configuration and retries.";
    Behind = 3014, 409, DID_NOT_RUN,
        "Sender and receiver have different configuration revisions.",
        "None: the one behind fetches the newer revision and retries.";
    GuardFull = 3015, 503, DID_NOT_RUN,
        "The guard holds the maximum number of keys.",
        "Retry after the time given in `Retry-After`, or raise `guard_keys`.";
    NotServing = 3016, 503, DID_NOT_RUN,
        "The backend server does not serve this model now.",
        "None: the entry tries another backend server.";
    RetrySpent = 3017, 503, DID_NOT_RUN,
        "The retry budget is exhausted.",
        "Retry after the time given in `Retry-After`.";
    NoRoutes = 3018, 503, DID_NOT_RUN,
        "The entry knows no published routes yet.",
        "Retry after the time given in `Retry-After`.";
    TimedOut = 3019, 504, MAY_HAVE_RUN,
        "The request timed out before its answer was complete.",
        "Repeat the request only if it is repeatable, or allow more time.";
    Quarantined = 3020, 503, DID_NOT_RUN,
        "Backend servers crashed in succession while running this request, or \
         others with a part of its prompt.",
        "Fix the request; it is tried again after the time given in \
         `Retry-After`.";
    NoRegion = 3021, 503, DID_NOT_RUN,
        "No backend server in an allowed region can accept the request now.",
        "Retry after the time given in `Retry-After`, \
         or allow the route more regions.";
    CallerUnread = 3022, 504, RAN,
        "The caller read nothing of its answer for too long.",
        "Read the answer as it arrives, or raise `buffers.unread_ms`.";
    LeftUnread = 3023, 502, RAN,
        "A replica cut an answer that its caller was too slow to read.",
        "Read faster, or raise `buffers.connection_kb`.";
    BuffersFull = 3024, 503, DID_NOT_RUN,
        "The entry has no room to buffer the request body.",
        "Retry after the time given in `Retry-After`, \
         or raise the bounds of `buffers`.";
    ListUnread = 3025, 503, DID_NOT_RUN,
        "The entry knows no replica of the service, and has not read the \
         whole list yet.",
        "Retry after the time given in `Retry-After`; \
         `start_delayed` in the entry's log says why.";
    CorruptChunk = 4001, 502, None,
        "A chunk's bytes do not have the declared digest.",
        "None: it is fetched elsewhere; check the source that sent it.";
    NoSource = 4002, 503, None,
        "No source of a chunk is reachable.",
        "Check the links to the hall's peers and to the origin.";
    StoreTooSmall = 4003, 507, None,
        "The version is larger than the instance's chunk store.",
        "Raise `store_mb` on the instance, or place the model elsewhere.";
    BadManifest = 4004, 502, None,
        "The manifest does not describe a valid set of chunks.",
        "Pack the version again and declare the new digest.";
    Stalled = 4005, 504, None,
        "A transfer made no progress within the time allowed.",
        "None: the transfer continues from another source.";
    EngineRefused = 4006, 409, None,
        "The engine refused an order with this fence.",
        "None, unless it persists: then a second agent orders this engine.";
    EngineLost = 4007, 502, None,
        "The engine does not answer its agent.",
        "Check the engine on the instance that the message names.";
    PoorLink = 4008, 503, None,
        "The instance's link is too slow or too busy to relay chunks.",
        "None: they are fetched elsewhere; check what loads the link.";
    VersionGone = 4009, 410, None,
        "The origin does not provide this version any more.",
        "None: a newer version is the target.";
    BadSettings = 5001, 400, None,
        "The process cannot start with its settings.",
        "Correct the settings that the preceding messages name.";
    CannotBind = 5002, 500, None,
        "The process cannot listen on its address.",
        "Stop the process that uses the address, or configure another one.";
    PeerLost = 5003, 502, None,
        "A call to another process of the system failed.",
        "None, unless it persists; then check the link between the two.";
    PlatformLost = 5004, 502, None,
        "The platform service does not answer.",
        "None: the process continues with the configuration in force.";
    Internal = 5005, 500, MAY_HAVE_RUN,
        "An internal error occurred in the process.",
        "Report it with the surrounding log lines.";
}

impl Code {
    /// Returns the number, as listed in `docs/ERRORS.md`.
    pub const fn number(self) -> u16 {
        self as u16
    }

    /// Returns the code with the given number, if there is one.
    ///
    /// # Examples
    ///
    /// ```
    /// use stairhinge::Code;
    ///
    /// assert_eq!(Code::from_number(3001), Some(Code::Overloaded));
    /// assert_eq!(Code::from_number(1), None);
    /// ```
    pub fn from_number(num: u16) -> Option<Code> {
        Code::ALL.iter().copied().find(|c| c.number() == num)
    }

    /// Renders the Markdown table of `docs/ERRORS.md`.
    pub fn table() -> String {
        let mut out = String::from(
            "| code | name | HTTP | ran | meaning | what to do |\n\
             | --- | --- | --- | --- | --- | --- |\n",
        );
        for code in Code::ALL {
            let ran = code.ran().map_or("", Ran::as_str);
            out.push_str(&format!(
                "| {} | {} | {} | {} | {} | {} |\n",
                code.number(),
                code.name(),
                code.status(),
                ran,
                code.meaning(),
                code.remedy(),
            ));
        }
        out
    }
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.number())
    }
}
