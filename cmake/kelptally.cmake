# Functions and compiler flags shared by all packages.

add_library(kelptally_flags INTERFACE)
target_compile_options(kelptally_flags INTERFACE -Wall -Wextra -Werror)
target_include_directories(kelptally_flags INTERFACE ${PROJECT_SOURCE_DIR}/src)
target_link_libraries(kelptally_flags INTERFACE Threads::Threads)
if(KELPTALLY_FUZZ)
    # Coverage instrumentation for libFuzzer, and sanitizers that abort at the first error.
    target_compile_options(kelptally_flags INTERFACE
        -fsanitize=fuzzer-no-link,address,undefined -fno-sanitize-recover=all -fno-omit-frame-pointer)
    target_link_options(kelptally_flags INTERFACE -fsanitize=address,undefined)
endif()
if(KELPTALLY_SANITIZE)
    target_compile_options(kelptally_flags INTERFACE -fsanitize=${KELPTALLY_SANITIZE} -fno-omit-frame-pointer)
    target_link_options(kelptally_flags INTERFACE -fsanitize=${KELPTALLY_SANITIZE})
endif()

# The thread sanitizer doesn't support atomic_thread_fence. Asio's locks suffice without its fences.
if(KELPTALLY_SANITIZE MATCHES thread)
    target_compile_definitions(kelptally_flags INTERFACE BOOST_ASIO_DISABLE_FENCED_BLOCK)
endif()

# kelptally_library(NAME SOURCES... LIBS...): static library kelptally_NAME of one package.
function(kelptally_library name)
    cmake_parse_arguments(ARG "" "" "SOURCES;LIBS" ${ARGN})
    add_library(kelptally_${name} STATIC ${ARG_SOURCES})
    target_link_libraries(kelptally_${name} PUBLIC kelptally_flags ${ARG_LIBS})
endfunction()

# kelptally_program(NAME SOURCES... LIBS...): program in build/PRESET/bin.
function(kelptally_program name)
    cmake_parse_arguments(ARG "" "" "SOURCES;LIBS" ${ARGN})
    add_executable(${name} ${ARG_SOURCES})
    target_link_libraries(${name} PRIVATE kelptally_flags ${ARG_LIBS})
    set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/bin)
endfunction()

# kelptally_test(NAME SOURCES... LIBS... ARGS...): Catch2 test program, run by ctest.
function(kelptally_test name)
    cmake_parse_arguments(ARG "" "" "SOURCES;LIBS;ARGS" ${ARGN})
    add_executable(${name} ${ARG_SOURCES})
    target_link_libraries(${name} PRIVATE kelptally_flags kelptally_testmain ${ARG_LIBS})
    add_test(NAME ${name} COMMAND ${name} ${ARG_ARGS})
    set_tests_properties(${name} PROPERTIES TIMEOUT 120)
    if(KELPTALLY_SANITIZE STREQUAL "thread")
        set_tests_properties(${name} PROPERTIES
            ENVIRONMENT "TSAN_OPTIONS=suppressions=${PROJECT_SOURCE_DIR}/cmake/tsan.supp")
    endif()
endfunction()
