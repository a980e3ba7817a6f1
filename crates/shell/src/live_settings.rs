//! Settings that are reloaded while a process runs.

use std::sync::Arc;

use arc_swap::ArcSwap;
use serde::Serialize;
use serde_json::{Map, Value};
use stairhinge::{Code, Error};

use crate::SettingsWatch;
use crate::decisions::{Decision, DecisionLog};

/// The settings of a program.
pub trait Settings: Clone + Serialize + Send + Sync + 'static {
    /// Parses settings from YAML.
    ///
    /// # Errors
    ///
    /// [`Code::BadSettings`] with the line and the allowed range.
    fn parse(text: &str) -> Result<Self, Error>;

    /// Returns these settings with the fields that can be reloaded taken from
    /// `next`.
    #[must_use]
    fn with_live(&self, next: &Self) -> Self;
}

/// The settings of a running process; clones share them.
#[derive(Clone, Debug)]
pub struct LiveSettings<T>(Arc<ArcSwap<T>>);

impl<T: Settings> LiveSettings<T> {
    /// Returns the settings that a process starts with.
    pub fn new(settings: T) -> LiveSettings<T> {
        LiveSettings(Arc::new(ArcSwap::from_pointee(settings)))
    }

    /// Returns the settings in force.
    pub fn get(&self) -> Arc<T> {
        self.0.load_full()
    }

    /// Reloads changed settings until the process ends.
    pub async fn follow(self, mut watch: SettingsWatch, log: DecisionLog) {
        loop {
            let changed = watch.changed().await;
            let taken = changed.and_then(|text| self.reload(&text, &log));
            let Err(error) = taken else { continue };
            log.write(&Decision::ReloadRefused {
                code: error.code().number(),
                reason: error.message(),
            });
        }
    }

    fn reload(&self, text: &str, log: &DecisionLog) -> Result<(), Error> {
        let next = T::parse(text)?;
        let old = self.get();
        let live = old.with_live(&next);
        let taken = changed_fields(&*old, &live)?;
        let at_restart = changed_fields(&live, &next)?;
        self.0.store(Arc::new(live));
        log.write(&Decision::Reload {
            taken: &taken,
            at_restart: &at_restart,
        });
        Ok(())
    }
}

/// Returns the names of the fields in which `new` differs from `old`.
fn changed_fields<T: Serialize>(
    old: &T,
    new: &T,
) -> Result<Vec<String>, Error> {
    let (old, new) = (fields(old)?, fields(new)?);
    let changed = new.into_iter().filter(|(k, v)| old.get(k) != Some(v));
    Ok(changed.map(|(name, _)| name).collect())
}

fn fields<T: Serialize>(settings: &T) -> Result<Map<String, Value>, Error> {
    match serde_json::to_value(settings) {
        Ok(Value::Object(fields)) => Ok(fields),
        Ok(other) => Err(Error::new(Code::Internal, other)),
        Err(e) => Err(Error::new(Code::Internal, e)),
    }
}
