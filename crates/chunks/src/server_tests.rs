//! Tests of the paths of requests to other processes.

use stairhinge_shell::http::segment;

use super::{ChunkServer, version_path};
use crate::peers::{MANIFEST, STANDING};

/// Guards against a manifest of another model, or of none, because a name has
/// signs that mean something in a URI.
#[test]
fn the_name_of_a_model_in_a_path_is_the_one_that_was_asked_for() {
    for model in ["m", "m/7", "m#7&a=b?c d", "%41", "\u{1}ü机", ".."] {
        let path = format!("{STANDING}{}/3", segment(model));
        let (found, version) = version_path(&path, STANDING).expect(model);
        assert_eq!((&*found, version), (model, 3));
        let path = format!("{MANIFEST}{}/3", segment(model));
        let (found, _) = ChunkServer::manifest_path(&path).expect(model);
        assert_eq!(found, model);
    }
    assert!(version_path(&format!("{MANIFEST}%ff/3"), MANIFEST).is_none());
}
