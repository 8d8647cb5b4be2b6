//! Generates the committed code for the links' messages.
//!
//! Run it from the workspace's root after a change of a file under `proto/`. It needs `protoc`; a
//! normal build doesn't, since the generated code is committed.

fn main() -> std::io::Result<()> {
    tonic_prost_build::configure()
        .build_transport(false)
        .out_dir("crates/sesamecart-links/src/generated")
        .compile_protos(
            &[
                "crates/sesamecart-links/proto/feed.proto",
                "crates/sesamecart-links/proto/link.proto",
            ],
            &["crates/sesamecart-links/proto"],
        )
}
