//! Tests of what an agent can pass on.

use std::sync::Arc;

use bytes::Bytes;
use stairhinge::Digest;

use super::{ChunkLocation, Holdings};
use crate::manifest::VersionManifest;

fn manifest(version: u64, chunks: u64) -> Arc<VersionManifest> {
    let name = |i| Digest::sha256(format!("{version}/{i}").as_bytes());
    Arc::new(VersionManifest {
        model: Arc::from("matcher"),
        version,
        digests: (0..chunks).map(name).collect(),
        chunk_bytes: 8,
    })
}

fn hold_all(holdings: &Holdings, manifest: &Arc<VersionManifest>) {
    holdings.add_manifest(manifest);
    for digest in &manifest.digests {
        holdings.insert_chunk(
            *digest,
            ChunkLocation::Memory(Bytes::from_static(b"x")),
        );
    }
}

#[test]
fn settling_a_version_keeps_the_chunks_of_the_next() {
    let holdings = Holdings::default();
    let (first, second) = (manifest(1, 4), manifest(2, 4));
    hold_all(&holdings, &first);
    hold_all(&holdings, &second);
    holdings.mark_staged(&first);
    for digest in &second.digests {
        assert!(holdings.bytes(digest).is_some(), "version 2 was dropped");
    }
    for digest in &first.digests {
        assert!(holdings.holds(digest));
        assert!(holdings.bytes(digest).is_none(), "version 1 stays there");
    }
}

#[test]
fn bytes_of_versions_long_past_are_dropped() {
    let holdings = Holdings::default();
    let first = manifest(1, 4);
    hold_all(&holdings, &first);
    for version in 2..6 {
        holdings.add_manifest(&manifest(version, 4));
    }
    assert!(!holdings.holds(&first.digests[0]));
}
