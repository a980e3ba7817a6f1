//! Tests of the chunks that a process holds.

use std::sync::Arc;

use bytes::Bytes;
use stairhinge::Digest;

use super::{ChunkLocation, Holdings};
use crate::manifest::VersionManifest;

fn manifest(version: u64, chunks: u64) -> Arc<VersionManifest> {
    let digest = |i| Digest::sha256(format!("{version}/{i}").as_bytes());
    Arc::new(VersionManifest {
        model: Arc::from("matcher"),
        version,
        digests: (0..chunks).map(digest).collect(),
        chunk_bytes: 8,
    })
}

fn insert_all(holdings: &Holdings, manifest: &Arc<VersionManifest>) {
    holdings.add_manifest(manifest);
    for digest in &manifest.digests {
        holdings.insert_chunk(
            *digest,
            ChunkLocation::Memory(Bytes::from_static(b"x")),
        );
    }
}

#[test]
fn marking_a_version_staged_keeps_the_bytes_of_the_next() {
    let holdings = Holdings::default();
    let (first, second) = (manifest(1, 4), manifest(2, 4));
    insert_all(&holdings, &first);
    insert_all(&holdings, &second);
    holdings.mark_staged(&first);
    for digest in &second.digests {
        assert!(
            holdings.bytes(digest).is_some(),
            "bytes of version 2 were freed"
        );
    }
    for digest in &first.digests {
        assert!(holdings.holds(digest));
        assert!(
            holdings.bytes(digest).is_none(),
            "bytes of version 1 are in memory"
        );
    }
}

#[test]
fn chunks_of_the_oldest_version_are_removed() {
    let holdings = Holdings::default();
    let first = manifest(1, 4);
    insert_all(&holdings, &first);
    for version in 2..6 {
        holdings.add_manifest(&manifest(version, 4));
    }
    assert!(!holdings.holds(&first.digests[0]));
}
