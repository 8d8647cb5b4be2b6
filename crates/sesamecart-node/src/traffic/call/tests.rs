use http::Method;
use sesamecart_property::check_property;

use super::Call;
use crate::traffic::answer::Refusal;

macro_rules! read {
    ($($name:ident: $method:ident $path:literal $query:expr => $expected:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!(Call::read(&Method::$method, $path, $query), $expected);
        }
    )*};
}

fn stock(path: &str) -> Result<Call, Refusal> {
    Ok(Call::Service {
        service: "stock".parse().expect("an id"),
        path: path.to_owned(),
    })
}

read! {
    chat_is_a_completion: POST "/v1/chat/completions" None => Ok(Call::Completion);
    text_is_a_completion: POST "/v1/completions" None => Ok(Call::Completion);
    completion_is_not_got: GET "/v1/completions" None => Err(Refusal::Method);
    service_path_is_passed_on: POST "/services/stock/a/b" Some("c=d") => stock("/a/b?c=d");
    service_without_rest_is_its_root: GET "/services/stock" None => stock("/");
    service_with_odd_name_is_unknown:
        GET "/services/st%20ock/a" None => Err(Refusal::UnknownService("st%20ock".to_owned()));
    other_path_is_unknown: GET "/" None => Err(Refusal::UnknownPath);
}

#[test]
fn any_path_is_read_without_panic() {
    check_property(
        bolero::produce::<(String, Option<String>)>(),
        |(path, query)| {
            let call = Call::read(&Method::GET, path, query.as_deref());
            if let Ok(Call::Service { path, .. }) = call {
                assert!(path.starts_with('/'));
            }
        },
    );
}
