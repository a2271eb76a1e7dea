#pragma once

#include "caller/httpserver.h"

#include <catch2/catch.hpp>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>

#include <cstdio>
#include <string>

namespace kelptally::caller {

// Files with a self-signed certificate for 127.0.0.1 and its key, removed by the destructor.
class SelfSigned
{
public:
    explicit SelfSigned(const std::string &name)
        : files {name + "_certificate.pem", name + "_key.pem"}
    {
        EVP_PKEY *key = EVP_EC_gen("P-256");
        X509 *certificate = X509_new();
        X509_gmtime_adj(X509_getm_notBefore(certificate), 0);
        X509_gmtime_adj(X509_getm_notAfter(certificate), 3600);
        X509_set_pubkey(certificate, key);
        X509_NAME *subject = X509_get_subject_name(certificate);
        X509_NAME_add_entry_by_txt(subject, "CN", MBSTRING_ASC,
                                   reinterpret_cast<const unsigned char *>("127.0.0.1"), -1, -1, 0);
        X509_set_issuer_name(certificate, subject);
        X509_sign(certificate, key, EVP_sha256());
        write(files.certificate, [&](std::FILE *file) { PEM_write_X509(file, certificate); });
        write(files.key, [&](std::FILE *file) {
            PEM_write_PrivateKey(file, key, nullptr, nullptr, 0, nullptr, nullptr);
        });
        X509_free(certificate);
        EVP_PKEY_free(key);
    }

    ~SelfSigned()
    {
        std::remove(files.certificate.c_str());
        std::remove(files.key.c_str());
    }

    const HttpTls files;

private:
    template <typename Writer>
    static void write(const std::string &path, Writer writer)
    {
        std::FILE *file = std::fopen(path.c_str(), "w");
        REQUIRE(file);
        writer(file);
        std::fclose(file);
    }
};

} // namespace kelptally::caller
