#include <cstdio>

#include <boost/asio/ssl.hpp>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>
#include <unistd.h>

#include "fixture.hpp"

using namespace reedramp::http;
using namespace reedramp::http::testing;

namespace {

/// A key and a certificate that it has signed itself, in files that are gone with the object.
class own_certificate {
public:
    own_certificate()
    {
        auto* key = EVP_RSA_gen(2048);
        auto* certificate = X509_new();
        X509_gmtime_adj(X509_getm_notBefore(certificate), 0);
        X509_gmtime_adj(X509_getm_notAfter(certificate), 3600);
        X509_set_pubkey(certificate, key);
        X509_sign(certificate, key, EVP_sha256());
        write(this->files.certificate_chain, [certificate](FILE* file) {
            PEM_write_X509(file, certificate);
        });
        write(this->files.private_key, [key](FILE* file) {
            PEM_write_PrivateKey(file, key, nullptr, nullptr, 0, nullptr, nullptr);
        });
        X509_free(certificate);
        EVP_PKEY_free(key);
    }

    ~own_certificate()
    {
        std::remove(this->files.certificate_chain.c_str());
        std::remove(this->files.private_key.c_str());
    }

    own_certificate(const own_certificate&) = delete;
    own_certificate(own_certificate&&) = delete;
    auto operator=(const own_certificate&) -> own_certificate& = delete;
    auto operator=(own_certificate&&) -> own_certificate& = delete;

    tls_files files{"/tmp/certificate-XXXXXX", "/tmp/key-XXXXXX"};

private:
    template <typename Writer>
    static auto write(std::string& name, const Writer& writer) -> void
    {
        FILE* file = fdopen(mkstemp(name.data()), "w");
        writer(file);
        std::fclose(file);
    }
};

} // namespace

TEST_CASE("requests and streams go over TLS, and plain bytes do not")
{
    const own_certificate certificate;
    loop server_loop;
    server_options options;
    options.tls = certificate.files;
    options.read_timeout = std::chrono::milliseconds{300};
    const auto serving = open_server(
        {&server_loop.context},
        [](request asked, const std::shared_ptr<responder>& out) {
            out->start({});
            out->write(std::move(asked.body));
            out->write(std::string(100000, 'x'));
            out->finish();
        },
        options);
    boost::asio::io_context context;
    boost::asio::ssl::context tls{boost::asio::ssl::context::tls_client};
    boost::asio::ssl::stream<boost::asio::ip::tcp::socket> stream{context, tls};
    stream.next_layer().connect({boost::asio::ip::make_address("127.0.0.1"), serving->port()});
    stream.handshake(boost::asio::ssl::stream_base::client);
    const std::string asked = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n"
                              "Connection: close\r\n\r\nbody";
    boost::asio::write(stream, boost::asio::buffer(asked));
    std::string answer;
    boost::system::error_code ended;
    boost::asio::read(stream, boost::asio::dynamic_buffer(answer), ended);
    CHECK(ended == boost::asio::error::eof);
    CHECK(answer.starts_with("HTTP/1.1 200 OK\r\n"));
    CHECK(answer.find("\r\n\r\n186a4\r\nbodyxxx") != std::string::npos);
    CHECK(answer.ends_with("x\r\n0\r\n\r\n"));

    raw_caller plain{address_of(*serving)};
    plain.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    CHECK(plain.read_to_end().find("HTTP/1.1 200") == std::string::npos);
}
