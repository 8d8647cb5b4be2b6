use super::max_connections;

macro_rules! connections_by_files {
    ($($name:ident: $files:expr => $connections:expr;)*) => {
        $(
            /// Guards against a flood of callers that leaves no files for endpoints.
            #[test]
            fn $name() {
                assert_eq!(max_connections($files), $connections);
            }
        )*
    };
}

connections_by_files! {
    a_small_vm_keeps_a_file_for_each_endpoint: Some(2_870) => 1_285;
    a_large_vm_serves_the_maximum: Some(8_192) => 1_900;
    a_vm_whose_files_are_not_known_serves_the_maximum: None => 1_900;
}
