//! Numbered result codes.
//!
//! Every failure that a caller, an operator or a log reader can meet has one
//! number. The table below is the only place where a code is defined;
//! `docs/ERRORS.md` is rendered from it and a test keeps the two equal.

use std::fmt;

use crate::Ran;

macro_rules! codes {
    ($($name:ident = $num:literal, $http:literal, $ran:expr,
       $mean:literal, $todo:literal;)*) => {
        /// A numbered result code.
        ///
        /// 1xxx are faults of the caller's request, 2xxx of configuration,
        /// 3xxx of serving, 4xxx of weights, 5xxx of a process.
        #[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
        #[repr(u16)]
        pub enum Code {
            $(#[doc = $mean] $name = $num,)*
        }

        impl Code {
            /// All codes in ascending order.
            pub const ALL: &'static [Code] = &[$(Code::$name,)*];

            /// Returns the HTTP status that goes with this code.
            pub const fn status(self) -> u16 {
                match self { $(Code::$name => $http,)* }
            }

            /// Returns what the code says about the request having run, or
            /// `None` where the code is not about a request.
            pub const fn ran(self) -> Option<Ran> {
                match self { $(Code::$name => $ran,)* }
            }

            /// Returns one sentence on what the code means.
            pub const fn meaning(self) -> &'static str {
                match self { $(Code::$name => $mean,)* }
            }

            /// Returns one sentence on what to do about it.
            pub const fn remedy(self) -> &'static str {
                match self { $(Code::$name => $todo,)* }
            }

            /// Returns the code's name.
            pub const fn name(self) -> &'static str {
                match self { $(Code::$name => stringify!($name),)* }
            }
        }
    };
}

const NOT: Option<Ran> = Some(Ran::DidNotRun);
const MAY: Option<Ran> = Some(Ran::MayHaveRun);
const RAN: Option<Ran> = Some(Ran::Ran);

codes! {
    MalformedHttp = 1001, 400, NOT,
        "The bytes received are not HTTP.",
        "Mend the client.";
    HeaderTooLarge = 1002, 431, NOT,
        "The request's head is larger than the process accepts.",
        "Send fewer or shorter headers.";
    BodyTooLarge = 1003, 413, NOT,
        "The request's body is larger than the process accepts.",
        "Send a smaller body, or raise `body_kb` in the settings.";
    MalformedJson = 1004, 400, NOT,
        "The request's body is not the JSON that this path takes.",
        "Mend the client; the message names the place.";
    UnknownModel = 1005, 404, NOT,
        "No declared model has this name.",
        "Correct the name, or declare the model.";
    UnknownService = 1006, 404, NOT,
        "No declared plain service has this name.",
        "Correct the name, or declare the service.";
    WrongMethod = 1007, 405, NOT,
        "The path does not take this method.",
        "Use the method that the message names.";
    UnknownPath = 1008, 404, NOT,
        "The process has nothing at this path.",
        "Correct the path.";
    SlowSender = 1009, 408, NOT,
        "The request did not arrive whole within the time allowed.",
        "Send faster, or raise `body_ms` in the settings.";
    BadHeader = 1010, 400, NOT,
        "A header of the request has a value outside its range.",
        "Correct the header that the message names.";
    UnknownWorkspace = 1011, 403, NOT,
        "No declared workspace has this name.",
        "Correct the name, or declare the workspace.";
    UnknownRoute = 1012, 404, NOT,
        "No published route takes this host and path.",
        "Correct the address, or publish a route.";
    MissingKey = 1013, 401, NOT,
        "The route needs a workspace's key, and the request has none.",
        "Send the key of a workspace.";
    UnknownKey = 1014, 401, NOT,
        "No workspace holds this key.",
        "Send a key that is in force; it may have been taken away.";
    BadYaml = 2001, 400, None,
        "The file is not the YAML that is expected here.",
        "Correct the line that the message names.";
    Duplicate = 2002, 400, None,
        "A name stands twice where it may stand once.",
        "Rename one of the two.";
    UnknownReference = 2003, 400, None,
        "A name refers to something that is not declared.",
        "Declare it, or correct the name.";
    OutOfRange = 2004, 400, None,
        "A value is outside the range allowed for its field.",
        "Choose a value in the range that the message names.";
    TooLarge = 2005, 400, None,
        "The document is larger than the platform holds (1 MB).",
        "Split the fleet or shorten the declaration.";
    OlderRevision = 2006, 409, None,
        "The document is older than the one in force.",
        "Publish under a higher revision.";
    OtherDigest = 2007, 409, None,
        "The document has the revision in force but other bytes.",
        "Two operators raced: publish the wanted one under a higher revision.";
    StaleOrder = 2008, 409, None,
        "The order was based on an older revision than the one in force.",
        "Look at the fleet again, then repeat the order.";
    Unreadable = 2009, 400, None,
        "The file cannot be read.",
        "Check the path and its permissions.";
    BadAddress = 2010, 400, None,
        "The value is not an IP address with a port.",
        "Write it as 192.0.2.1:7000 or [2001:db8::1]:7000.";
    BadDigest = 2011, 400, None,
        "The value is not a blake3 digest of 64 hex digits.",
        "Copy the digest that the packing tool printed.";
    Overloaded = 3001, 503, NOT,
        "The entry has as many requests as it may hold.",
        "Come back after `Retry-After`.";
    NoBackend = 3002, 503, NOT,
        "No backend server can take the request now.",
        "Come back after `Retry-After`; see `stairhinge status`.";
    DeadlinePassed = 3003, 504, NOT,
        "The request's deadline passed before it could start.",
        "Come back after `Retry-After`, or allow more time.";
    Leaving = 3004, 503, NOT,
        "The process is leaving and takes no new work.",
        "Send the request to another instance.";
    GuardUnreachable = 3005, 503, NOT,
        "The backend server that guards this key cannot be reached.",
        "Come back after `Retry-After`; the key is free until then.";
    GuardForgetful = 3006, 503, NOT,
        "The guard of this key has restarted and may have forgotten it.",
        "Come back after `Retry-After`, when the key window has passed.";
    DuplicateRunning = 3007, 409, MAY,
        "A request with this key was taken; it runs or may have run.",
        "Wait for the answer of the first one.";
    DuplicateRan = 3008, 409, RAN,
        "A request with this key has run.",
        "Do not send it again; ask the people concerned.";
    Revoked = 3009, 409, NOT,
        "The attempt was revoked before it arrived.",
        "None: the entry has answered the caller already.";
    LostBackend = 3010, 502, MAY,
        "The backend server was lost before it answered.",
        "Repeat it only if it is repeatable.";
    AnswerBroke = 3011, 502, MAY,
        "The answer broke off; what came is not whole.",
        "Discard the part received; repeat only if repeatable.";
    WrongVersion = 3012, 502, MAY,
        "The engine answered from another version than the one bound.",
        "The answer was withheld; repeat only if repeatable.";
    NotGuard = 3013, 409, NOT,
        "The backend server is not the guard of this key.",
        "None: the entry refreshes its configuration and tries again.";
    Behind = 3014, 409, NOT,
        "Sender and receiver hold different configurations.",
        "None: the one behind takes the newer one and tries again.";
    GuardFull = 3015, 503, NOT,
        "The guard remembers as many keys as it may.",
        "Come back after `Retry-After`, or raise `guard_keys`.";
    NotServing = 3016, 503, NOT,
        "The backend server does not serve this model now.",
        "None: the entry tries another one.";
    RetrySpent = 3017, 503, NOT,
        "The retry budget is spent.",
        "Come back after `Retry-After`.";
    NoRoutes = 3018, 503, NOT,
        "The entry knows no published routes yet.",
        "Come back after `Retry-After`.";
    TimedOut = 3019, 504, MAY,
        "The request's time was over before its answer was whole.",
        "Repeat it only if it is repeatable, or allow more time.";
    Quarantined = 3020, 503, NOT,
        "Backend servers ended, one after the other, as they ran this request.",
        "Mend the request; it is tried again after `Retry-After`.";
    NoRegion = 3021, 503, NOT,
        "No backend server in an allowed region can take the request now.",
        "Come back after `Retry-After`, or allow the route more regions.";
    CorruptChunk = 4001, 502, None,
        "A chunk's bytes do not have the declared digest.",
        "None: it is drawn again elsewhere; see who sent it.";
    NoSource = 4002, 503, None,
        "No source of a chunk can be reached.",
        "Look at the links to the hall's peers and the origin.";
    StoreTooSmall = 4003, 507, None,
        "The version is larger than the store allowed for copies.",
        "Raise `store_mb` on the instance, or place the model elsewhere.";
    BadManifest = 4004, 502, None,
        "The manifest does not describe a set of chunks.",
        "Pack the version again and declare the new digest.";
    Stalled = 4005, 504, None,
        "A transfer made no progress within the time allowed.",
        "None: it is moved to another source.";
    EngineRefused = 4006, 409, None,
        "The engine refused an order under this fence.",
        "None, unless it lasts: then a second agent orders this engine.";
    EngineLost = 4007, 502, None,
        "The engine does not answer its agent.",
        "Look at the engine on the instance that the message names.";
    PoorLink = 4008, 503, None,
        "The instance's link is too poor to pass chunks on.",
        "None: they are drawn elsewhere; see why the link is full.";
    BadSettings = 5001, 400, None,
        "The process cannot start under its settings.",
        "Correct what the messages before it name.";
    CannotBind = 5002, 500, None,
        "The process cannot listen on its address.",
        "Another process holds the slot: stop it first.";
    PeerLost = 5003, 502, None,
        "A call to another process of the system failed.",
        "None, unless it lasts; see the link between the two.";
    PlatformLost = 5004, 502, None,
        "The platform's service does not answer.",
        "None: the process goes on under the configuration in force.";
    Internal = 5005, 500, MAY,
        "The process met a fault of its own.",
        "Report it with the log lines around it.";
}

impl Code {
    /// Returns the number, as documented in `docs/ERRORS.md`.
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

    /// Renders the table of `docs/ERRORS.md`.
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
