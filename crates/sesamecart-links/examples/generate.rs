//! Regenerates the committed gRPC code of the links.
//!
//! Run it from the workspace root after changing a file under `proto/`. It requires `protoc`; a normal
//! build doesn't, since the generated code is committed.

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
