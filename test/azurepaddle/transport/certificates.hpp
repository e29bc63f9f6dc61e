#pragma once

#include "azurepaddle/transport/options.hpp"

#include <memory>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>
#include <openssl/x509v3.h>
#include <string>

namespace fixture {

using Key = std::shared_ptr<EVP_PKEY>;
using Certificate = std::shared_ptr<X509>;

inline std::string bioText(BIO* bio)
{
    char* data = nullptr;
    const long size = BIO_get_mem_data(bio, &data);
    std::string text(data, static_cast<std::size_t>(size));
    BIO_free(bio);
    return text;
}

inline std::string pem(const Certificate& certificate)
{
    BIO* bio = BIO_new(BIO_s_mem());
    PEM_write_bio_X509(bio, certificate.get());
    return bioText(bio);
}

inline std::string pem(const Key& key)
{
    BIO* bio = BIO_new(BIO_s_mem());
    PEM_write_bio_PrivateKey(bio, key.get(), nullptr, nullptr, 0, nullptr, nullptr);
    return bioText(bio);
}

inline Certificate makeCertificate(const char* name, const Key& key, const Certificate& issuer, const Key& issuerKey, bool authority)
{
    Certificate certificate(X509_new(), X509_free);
    X509_set_version(certificate.get(), 2);
    ASN1_INTEGER_set(X509_get_serialNumber(certificate.get()), authority ? 1 : 2);
    X509_gmtime_adj(X509_getm_notBefore(certificate.get()), -3600);
    X509_gmtime_adj(X509_getm_notAfter(certificate.get()), 3600);
    X509_set_pubkey(certificate.get(), key.get());
    X509_NAME* subject = X509_get_subject_name(certificate.get());
    X509_NAME_add_entry_by_txt(subject, "CN", MBSTRING_ASC, reinterpret_cast<const unsigned char*>(name), -1, -1, 0);
    X509_set_issuer_name(certificate.get(), X509_get_subject_name(issuer ? issuer.get() : certificate.get()));
    if (authority) {
        X509_EXTENSION* extension = X509V3_EXT_conf_nid(nullptr, nullptr, NID_basic_constraints, "critical,CA:TRUE");
        X509_add_ext(certificate.get(), extension, -1);
        X509_EXTENSION_free(extension);
    }
    X509_sign(certificate.get(), issuerKey.get(), EVP_sha256());
    return certificate;
}

/// A certificate authority made for one test.
class Authority {
public:
    explicit Authority(const char* name)
        : m_key(EVP_EC_gen("P-256"), EVP_PKEY_free)
        , m_certificate(makeCertificate(name, m_key, nullptr, m_key, true))
    {
    }

    /// An identity signed by this authority that trusts the given one.
    [[nodiscard]] azurepaddle::transport::TlsIdentity issue(const char* name, const Authority& trusted) const
    {
        const Key key(EVP_EC_gen("P-256"), EVP_PKEY_free);
        return { pem(makeCertificate(name, key, m_certificate, m_key, false)), pem(key), pem(trusted.m_certificate) };
    }

private:
    Key m_key;
    Certificate m_certificate;
};

}
